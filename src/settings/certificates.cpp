#include <ragwortrelay/detail/settings/certificates.h>

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <memory>
#include <vector>

namespace RagwortRelay::Settings::detail {

namespace {

/// Deleter of an OpenSSL object.
template<auto Free> struct Deleter {
    void operator()(auto *pointer) const
    {
        Free(pointer);
    }
};

using BioPointer = std::unique_ptr<BIO, Deleter<BIO_free_all>>;
using CertificatePointer = std::unique_ptr<X509, Deleter<X509_free>>;
using KeyPointer = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;

/// Reads all certificates of a PEM file up to the first that can't be parsed.
std::vector<CertificatePointer> readCertificates(const std::string &fileName)
{
    std::vector<CertificatePointer> certificates;
    const BioPointer file(BIO_new_file(fileName.c_str(), "r"));
    while (file) {
        CertificatePointer certificate(PEM_read_bio_X509(file.get(), nullptr, nullptr, nullptr));
        if (!certificate) {
            break;
        }
        certificates.push_back(std::move(certificate));
    }
    ERR_clear_error();
    return certificates;
}

/// Rejects keys with a passphrase, as a host process has no user to type it.
int rejectPassphrase(char * /*buffer*/, int /*size*/, int /*isWriting*/, void * /*context*/)
{
    return -1;
}

}

std::optional<std::string> checkCertificate(const std::string &fileName, std::chrono::system_clock::time_point now)
{
    const std::vector<CertificatePointer> certificates = readCertificates(fileName);
    if (certificates.empty()) {
        return "the file '" + fileName + "' holds no certificate in PEM form";
    }
    time_t nowSeconds = std::chrono::system_clock::to_time_t(now);
    for (const CertificatePointer &certificate : certificates) {
        if (X509_cmp_time(X509_get0_notAfter(certificate.get()), &nowSeconds) < 0) {
            return "the certificate in '" + fileName + "' has expired";
        }
        if (X509_cmp_time(X509_get0_notBefore(certificate.get()), &nowSeconds) > 0) {
            return "the certificate in '" + fileName + "' is not valid yet";
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkPrivateKey(const std::string &fileName, const std::string &certificateFileName)
{
    const BioPointer file(BIO_new_file(fileName.c_str(), "r"));
    const KeyPointer key(file ? PEM_read_bio_PrivateKey(file.get(), nullptr, rejectPassphrase, nullptr) : nullptr);
    const std::vector<CertificatePointer> certificates = readCertificates(certificateFileName);
    const bool isMatching = key && X509_check_private_key(certificates.front().get(), key.get()) == 1;
    ERR_clear_error();
    if (!key) {
        return "the file '" + fileName + "' holds no private key in PEM form without a passphrase";
    }
    return isMatching ? std::nullopt : std::optional("the key in '" + fileName + "' doesn't belong to the certificate");
}

}

#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace RagwortRelay::Fakes {

/// Temporary folder, which the destructor removes with its content.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "ragwortrelay-XXXXXX").string();
        m_path = mkdtemp(name.data());
    }

    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

/// Test certificate authority that writes the PEM files `NAME.crt` and `NAME.key` into a folder.
class FakeAuthority
{
public:
    FakeAuthority(const TemporaryFolder &folder, const std::string &name) : m_folder(folder)
    {
        m_key = EVP_EC_gen("P-256");
        m_certificate = make(name, m_key, std::chrono::hours(1));
        write(name, m_certificate, m_key);
    }

    ~FakeAuthority()
    {
        X509_free(m_certificate);
        EVP_PKEY_free(m_key);
    }

    FakeAuthority(const FakeAuthority &) = delete;
    FakeAuthority &operator=(const FakeAuthority &) = delete;

    void issue(const std::string &name, std::chrono::seconds lifetime = std::chrono::hours(1)) const
    {
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *certificate = make(name, key, lifetime);
        write(name, certificate, key);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }

private:
    X509 *make(const std::string &name, EVP_PKEY *key, std::chrono::seconds lifetime) const
    {
        X509 *certificate = X509_new();
        X509_set_version(certificate, X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), -7200);
        X509_gmtime_adj(X509_getm_notAfter(certificate), lifetime.count());
        X509_set_pubkey(certificate, key);
        X509_NAME *subject = X509_get_subject_name(certificate);
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(certificate, m_certificate == nullptr ? subject : X509_get_subject_name(m_certificate));
        addExtension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
        addExtension(certificate, NID_basic_constraints, m_certificate == nullptr ? "critical,CA:TRUE" : "critical,CA:FALSE");
        X509_sign(certificate, m_key, EVP_sha256());
        return certificate;
    }

    static void addExtension(X509 *certificate, int nid, const char *value)
    {
        X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value);
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }

    void write(const std::string &name, X509 *certificate, EVP_PKEY *key) const
    {
        BIO *certificateFile = BIO_new_file(m_folder.file(name + ".crt").c_str(), "w");
        PEM_write_bio_X509(certificateFile, certificate);
        BIO_free(certificateFile);
        BIO *keyFile = BIO_new_file(m_folder.file(name + ".key").c_str(), "w");
        PEM_write_bio_PrivateKey(keyFile, key, nullptr, nullptr, 0, nullptr, nullptr);
        BIO_free(keyFile);
    }

    const TemporaryFolder &m_folder;
    EVP_PKEY *m_key = nullptr;
    X509 *m_certificate = nullptr;
};

}

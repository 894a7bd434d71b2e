#include <ragwortrelay/cli/operatorclient.h>

#include <curl/curl.h>

#include <memory>

namespace RagwortRelay::Cli {

namespace {

constexpr long TimeoutSeconds = 30;

std::size_t onAnswer(char *data, std::size_t /*one*/, std::size_t size, void *context)
{
    static_cast<std::string *>(context)->append(data, size);
    return size;
}

}

tl::expected<OperatorResponse, Error> askHost(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    const std::string authorization = "Authorization: Bearer " + endpoint.m_token;
    curl_slist *list = curl_slist_append(nullptr, authorization.c_str());
    list = curl_slist_append(list, "Content-Type: application/json");
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(list, curl_slist_free_all);
    OperatorResponse response;
    curl_easy_setopt(easy.get(), CURLOPT_URL, ("http://" + endpoint.m_address + path).c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT, TimeoutSeconds);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, onAnswer);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response.m_body);
    if (!body.empty()) {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
    }
    const CURLcode code = curl_easy_perform(easy.get());
    if (code != CURLE_OK) {
        return tl::unexpected(Error{ErrorId::OperatorUnreachable, endpoint.m_address + ": " + curl_easy_strerror(code)});
    }
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &response.m_status);
    return response;
}

}

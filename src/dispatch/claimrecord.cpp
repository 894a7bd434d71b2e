#include <ragwortrelay/core/digest.h>
#include <ragwortrelay/dispatch/claimrecord.h>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <stdexcept>

namespace RagwortRelay::Dispatch {

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerBlock = 3; // One block of base64 digits encodes this many bytes.
constexpr std::size_t DigitsPerBlock = 4;

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + BytesPerBlock - 1) / BytesPerBlock * DigitsPerBlock + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    std::string bytes(text.size() / DigitsPerBlock * BytesPerBlock, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0 || static_cast<std::size_t>(size) != bytes.size()) {
        throw std::runtime_error("a field is not valid base64");
    }
    const std::size_t lastDigit = text.find_last_not_of('=');
    const std::size_t padding = text.empty() ? 0 : text.size() - 1 - lastDigit;
    bytes.resize(bytes.size() - padding);
    return bytes;
}

Json encodeResponse(const StoredResponse &response)
{
    Json headers = Json::array();
    for (const ResponseHeader &header : response.m_headers) {
        headers.push_back(Json::array({encodeBase64(header.m_name), encodeBase64(header.m_value)}));
    }
    return Json{{"status", response.m_status}, {"headers", headers}, {"body", encodeBase64(response.m_body)}};
}

StoredResponse decodeResponse(const Json &json)
{
    StoredResponse response;
    response.m_status = json.at("status").get<std::uint16_t>();
    for (const Json &header : json.at("headers")) {
        response.m_headers.push_back({decodeBase64(header.at(0).get<std::string>()), decodeBase64(header.at(1).get<std::string>())});
    }
    response.m_body = decodeBase64(json.at("body").get<std::string>());
    return response;
}

std::string nameOf(ClaimState state)
{
    switch (state) {
    case ClaimState::Running:
        return "running";
    case ClaimState::Done:
        return "done";
    case ClaimState::Unknown:
        return "unknown";
    case ClaimState::Released:
        return "released";
    }
    return "";
}

ClaimState stateFrom(const std::string &name)
{
    for (const ClaimState state : {ClaimState::Running, ClaimState::Done, ClaimState::Unknown, ClaimState::Released}) {
        if (nameOf(state) == name) {
            return state;
        }
    }
    throw std::runtime_error("unknown claim state");
}

/// Joins texts with length prefixes, so that different lists yield different results.
std::string joinUnambiguously(std::initializer_list<std::string> texts)
{
    std::string result;
    for (const std::string &text : texts) {
        result += std::to_string(text.size()) + ':' + text;
    }
    return result;
}

}

Store::RowKey claimKey(const WorkspaceId &workspace, const std::string &idempotencyKey)
{
    return {ClaimTable, ClaimPart, sha256(joinUnambiguously({workspace.text(), idempotencyKey}))};
}

std::string fingerprintOf(const WorkspaceId &workspace, const std::string &method, const std::string &target, const std::string &bodyDigest)
{
    return sha256(joinUnambiguously({workspace.text(), method, target, bodyDigest}));
}

std::string encodeClaim(const ClaimRecord &record)
{
    Json json{{"state", nameOf(record.m_state)}, {"attempt", record.m_attempt}, {"request", record.m_fingerprint}, {"epoch", record.m_epoch}};
    if (record.m_response) {
        json["answer"] = encodeResponse(*record.m_response);
    }
    return json.dump();
}

tl::expected<ClaimRecord, Error> decodeClaim(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        ClaimRecord record;
        record.m_state = stateFrom(json.at("state").get<std::string>());
        record.m_attempt = json.at("attempt").get<std::string>();
        record.m_fingerprint = json.at("request").get<std::string>();
        record.m_epoch = json.at("epoch").get<std::uint64_t>();
        if (json.contains("answer")) {
            record.m_response = decodeResponse(json["answer"]);
        }
        return record;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, std::string("unreadable claim: ") + exception.what()});
    }
}

}

#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/tableclient.h>
#include <ragwortrelay/runtime/operatorcodec.h>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <vector>

namespace RagwortRelay::Cli::detail {

namespace {

using Json = nlohmann::json;

std::uint64_t storedVersion(const OperatorEndpoint &endpoint, const Configuration::RowKey &key)
{
    const auto response = askHost(endpoint, "/ragwortrelay/table", "");
    if (!response || response->m_status != 200) {
        return 0;
    }
    const Json table = Json::parse(response->m_body);
    for (const Json &row : table.at("rows")) {
        const bool isSame = row.at("kind") == Configuration::toString(key.m_kind) && row.at("name") == key.m_name;
        if (isSame && !row.at("erased").get<bool>()) {
            return row.at("version").get<std::uint64_t>();
        }
    }
    return 0;
}

}

std::string randomHex(std::size_t bytes)
{
    constexpr const char *Digits = "0123456789abcdef";
    std::vector<unsigned char> random(bytes);
    RAND_bytes(random.data(), static_cast<int>(random.size()));
    std::string text;
    for (const unsigned char byte : random) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 15U];
    }
    return text;
}

ExitCode editRow(const OperatorEndpoint &endpoint, const Configuration::RowKey &key, const Configuration::Cells &cells)
{
    Node::EditTable edit;
    edit.m_changeId = randomHex(16);
    edit.m_author = "operator";
    edit.m_rows.push_back({key, storedVersion(endpoint, key), cells, false});
    return printAnswer(askHost(endpoint, "/ragwortrelay/table", Runtime::encodeEdit(edit)));
}

}

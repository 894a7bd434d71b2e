#include <ragwortrelay/runtime/message.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <strings.h>

namespace RagwortRelay::Runtime {

bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

bool isHopByHop(const std::string &name)
{
    static const std::array<const char *, 9> names{
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};
    return std::any_of(names.begin(), names.end(), [&](const char *candidate) { return sameName(name, candidate); });
}

Headers endToEndHeaders(const Headers &headers)
{
    std::vector<std::string> named;
    for (const Header &header : headers) {
        if (!sameName(header.m_name, "Connection")) {
            continue;
        }
        std::istringstream list(header.m_value);
        std::string token;
        while (std::getline(list, token, ',')) {
            token.erase(0, token.find_first_not_of(" \t"));
            token.erase(token.find_last_not_of(" \t") + 1);
            named.push_back(token);
        }
    }
    Headers kept;
    for (const Header &header : headers) {
        const bool isNamed = std::any_of(named.begin(), named.end(), [&](const std::string &token) { return sameName(token, header.m_name); });
        if (!isNamed && !isHopByHop(header.m_name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

}

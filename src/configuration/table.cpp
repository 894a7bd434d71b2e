#include <ragwortrelay/configuration/table.h>

#include <array>
#include <utility>

namespace RagwortRelay::Configuration {

namespace {

constexpr std::array<std::pair<RowKind, const char *>, 6> KindNames{{
    {RowKind::Service, "service"},
    {RowKind::Server, "server"},
    {RowKind::Route, "route"},
    {RowKind::Workspace, "workspace"},
    {RowKind::Key, "key"},
    {RowKind::Evacuation, "evacuation"},
}};

}

std::string toString(RowKind kind)
{
    for (const auto &[candidate, name] : KindNames) {
        if (candidate == kind) {
            return name;
        }
    }
    return "unknown";
}

std::pair<RowKind, bool> rowKindFrom(const std::string &text)
{
    for (const auto &[kind, name] : KindNames) {
        if (text == name) {
            return {kind, true};
        }
    }
    return {RowKind::Service, false};
}

}

#include <ragwortrelay/store/store.h>

namespace RagwortRelay::Store {

std::optional<Era> eraOf(const Result &result)
{
    if (const auto *read = std::get_if<RowsRead>(&result)) {
        return eraOf(read->m_version);
    }
    if (const auto *committed = std::get_if<Committed>(&result)) {
        return eraOf(committed->m_version);
    }
    if (const auto *conflict = std::get_if<Conflict>(&result)) {
        return conflict->m_era;
    }
    const auto *compacted = std::get_if<HistoryCompacted>(&result);
    return compacted == nullptr ? std::nullopt : std::optional(compacted->m_era);
}

}

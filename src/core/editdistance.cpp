#include <ragwortrelay/core/editdistance.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace RagwortRelay {

std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

std::string nearestText(const std::string &text, const std::set<std::string> &candidates)
{
    constexpr std::size_t MaxSuggestionDistance = 3;
    std::string nearest;
    std::size_t distance = MaxSuggestionDistance + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t candidateDistance = editDistance(text, candidate);
        if (candidateDistance < distance) {
            distance = candidateDistance;
            nearest = candidate;
        }
    }
    return nearest;
}

}

#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace RagwortRelay {

/// Returns the Levenshtein distance of two texts. The complexity is the product of their lengths. Thread-safe.
/// Source: Wagner and Fischer, "The String-to-String Correction Problem" (1974).
std::size_t editDistance(const std::string &left, const std::string &right);

/// Returns the candidate with the smallest edit distance to a misspelt text; empty if no candidate is close enough. Thread-safe.
std::string nearestText(const std::string &text, const std::set<std::string> &candidates);

}

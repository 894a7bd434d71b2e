#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace RagwortRelay {

/// Returns the number of single-character edits between two texts. Takes time in the order of the product of their lengths.
/// Source: Wagner and Fischer, "The String-to-String Correction Problem" (1974).
std::size_t editDistance(const std::string &left, const std::string &right);

/// Returns the candidate nearest to a misspelt text; empty when none is near.
std::string nearestText(const std::string &text, const std::set<std::string> &candidates);

}

#include <ragwortrelay/http/headerscheme.h>

#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace RagwortRelay::Http;

namespace {

const std::string Secret = "0123456789abcdef0123";

RequestMetadata metadataWithKey()
{
    RequestMetadata metadata;
    metadata.m_key = "Bearer k1." + Secret;
    return metadata;
}

bool leaks(const std::string &body)
{
    return leaksKey(metadataWithKey(), RequestHead{"POST", "/", 1, {}}, body);
}

std::string escaped(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        result += {'%', Digits[byte / Digits.size()], Digits[byte % Digits.size()]};
    }
    return result;
}

/// Returns the largest memory that the process has held so far, in KiB.
long peakMemory()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

}

TEST_CASE("a key is found in a body wherever it stands, also with escapes")
{
    constexpr std::size_t PieceBytes = 64U << 10U; // A body is decoded in pieces of this size.
    for (const std::size_t offset :
         {std::size_t{0}, PieceBytes - 21, PieceBytes - 20, PieceBytes - 19, PieceBytes - 1, PieceBytes, PieceBytes + 18, PieceBytes + 20, 3 * PieceBytes}) {
        CAPTURE(offset);
        const std::string before(offset, 'x');
        CHECK(leaks(before + Secret));
        CHECK(leaks(before + escaped(Secret)));
        CHECK(leaks(before + Secret.substr(0, 7) + escaped(Secret.substr(7)) + before));
        CHECK(leaks("%zz" + before + Secret.substr(0, 19) + escaped(Secret.substr(19)) + "%4"));
        CHECK_FALSE(leaks("%41" + before + escaped(Secret.substr(0, 19))));
        CHECK_FALSE(leaks(before + Secret.substr(0, 10) + "%" + Secret.substr(10)));
    }
}

// One upload of the largest size that a configuration permits took a host over the memory of its machine: review/7.
TEST_CASE("regression: the search for the key copied the whole body of a request with a percent sign")
{
    constexpr std::size_t BodyBytes = 64U << 20U;
    constexpr long MaxGrowth = 8L << 10U; // KiB
    std::string body(BodyBytes, 'x');
    body[BodyBytes / 2] = '%';
    const long before = peakMemory();
    CHECK_FALSE(leaks(body));
    CHECK(peakMemory() - before < MaxGrowth);
}

// Parses arbitrary bytes as input from the users' platform: the configuration, the row of a server and a response of the store, with its era. A rejected
// configuration must leave the catalogue unchanged.

#include <platform/configuration.h>
#include <platform/servers.h>
#include <platform/storeformat.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    using namespace RagwortRelay;
    constexpr std::size_t MaxEraBytes = 24; // Longer than the text of any 64-bit number.
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const Store::Row row{{Platform::ConfigurationTable, {}, "config"}, bytes, 2, false};
    Configuration::Catalogue catalogue;
    const auto changed = Platform::updateCatalogue(catalogue, {&row});
    if ((!changed || !*changed) && catalogue != Configuration::Catalogue()) {
        std::abort();
    }
    if (Platform::parseServer(row).has_value() && size == 0) {
        std::abort();
    }
    const Http::Headers withEra{{"Store-Era", bytes.substr(0, MaxEraBytes)}};
    for (const std::uint16_t status : {200, 412}) {
        for (const Http::Headers &headers : {Http::Headers(), withEra}) {
            const Http::ResponseHead head{status, headers, std::nullopt, true};
            (void)Platform::decodeResponse(Store::ReadRows{}, head, bytes);
            (void)Platform::decodeResponse(Store::Transaction{}, head, bytes);
        }
    }
    return 0;
}

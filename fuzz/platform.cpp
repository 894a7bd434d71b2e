// Parses arbitrary bytes as input from the users' platform: the configuration, the row of a server and a response of the store. A rejected
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
    for (const std::uint16_t status : {200, 412}) {
        (void)Platform::decodeResponse(Store::ReadRows{}, status, bytes);
        (void)Platform::decodeResponse(Store::Transaction{}, status, bytes);
    }
    return 0;
}

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;

TEST_CASE("authentication with workspace keys")
{
    const WorkspaceId workspace("w1");
    Configuration::Catalogue catalogue;
    Configuration::Key &key = catalogue.m_keys[KeyId("k1")];
    key = {KeyId("k1"), workspace, "salt", Workspaces::digestOf("salt", "long-secret"), false};
    const auto presented = Workspaces::parseBearer("Bearer k1.long-secret");
    REQUIRE(presented);

    SECTION("a valid key identifies its workspace")
    {
        CHECK(Workspaces::authenticate(catalogue, *presented) == workspace);
        CHECK(Workspaces::isValid(catalogue, KeyId("k1"), workspace));
    }

    SECTION("withdrawn keys, unknown ids, wrong secrets and malformed or non-bearer credentials are rejected")
    {
        CHECK_FALSE(Workspaces::authenticate(catalogue, {KeyId("k1"), "long-secreT"}));
        CHECK_FALSE(Workspaces::authenticate(catalogue, {KeyId("k2"), "long-secret"}));
        CHECK_FALSE(Workspaces::authenticate(catalogue, {KeyId("k1"), ""}));
        CHECK_FALSE(Workspaces::parseBearer("Basic k1.long-secret"));
        CHECK_FALSE(Workspaces::parseBearer("Bearer k1"));
        key.m_withdrawn = true;
        CHECK_FALSE(Workspaces::authenticate(catalogue, *presented));
        CHECK_FALSE(Workspaces::isValid(catalogue, KeyId("k1"), workspace));
    }
}

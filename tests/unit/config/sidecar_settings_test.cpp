#include "config/sidecar_settings.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::config;

namespace {

const std::string kGood = R"(
[sidecar]
name = "n1"
zone = "z1"
service = "orders"
stop_grace = "6s"
unknown = "skipped"
[listen]
calls = "127.0.0.1:1001"
hops = "127.0.0.1:1002"
control = "127.0.0.1:1003"
readiness = "127.0.0.1:1004"
gossip = "127.0.0.1:1005"
metrics = "127.0.0.1:1006"
[store]
address = "127.0.0.1:1007"
[repeats]
ratio = "0.25"
extra = "57.0"
window = "10s"
)";

std::string without(std::string text, const std::string& line_start) {
    const auto at = text.find(line_start);
    return text.erase(at, text.find('\n', at) - at);
}

}  // namespace

TEST_CASE("sidecar settings are loaded, and unknown keys are ignored") {
    const auto result = load_sidecar_settings("f.toml", kGood);
    REQUIRE(result.errors.empty());
    CHECK(result.settings.calls.port == 1001);
    CHECK(result.settings.stop_grace == milliseconds(6'000));
    CHECK(result.settings.retry_ratio == Approx(0.25));
    CHECK(result.settings.retry_extra == Approx(57.0));
}

TEST_CASE("sidecar settings errors name their place") {
    const auto missing = load_sidecar_settings("f.toml", without(kGood, "name ="));
    REQUIRE(missing.errors.size() == 1);
    CHECK(missing.errors.front().text() == "f.toml sidecar.name: is missing");
    const auto no_endpoint = load_sidecar_settings("f.toml", without(kGood, "hops ="));
    REQUIRE(no_endpoint.errors.size() == 1);
    CHECK(no_endpoint.errors.front().place == "f.toml listen.hops");
    const auto broken = load_sidecar_settings("f.toml", "[sidecar\nname=");
    REQUIRE(broken.errors.size() == 1);
    CHECK(broken.errors.front().place == "f.toml:1");
}

TEST_CASE("an invalid duration or number is rejected") {
    auto text = kGood;
    text.replace(text.find("\"6s\""), 4, "\"6x\"");
    text.replace(text.find("\"0.25\""), 6, "\"lots\"");
    CHECK(load_sidecar_settings("f.toml", text).errors.size() == 2);
}

TEST_CASE("advertised addresses default to the listen addresses") {
    const auto plain = load_sidecar_settings("f.toml", kGood);
    CHECK(plain.settings.advertised_hops == plain.settings.hops);
    CHECK(plain.settings.advertised_gossip == plain.settings.gossip);
    const auto forwarded =
        load_sidecar_settings("f.toml", kGood + "[advertise]\nhops = \"127.0.0.1:2002\"\n");
    REQUIRE(forwarded.errors.empty());
    CHECK(forwarded.settings.advertised_hops.port == 2002);
    CHECK(forwarded.settings.advertised_gossip == plain.settings.gossip);
    const auto wrong = load_sidecar_settings("f.toml", kGood + "[advertise]\ngossip = \"here\"\n");
    REQUIRE(wrong.errors.size() == 1);
    CHECK(wrong.errors.front().place == "f.toml advertise.gossip");
}

TEST_CASE("the memory has a default and a minimum") {
    CHECK(load_sidecar_settings("f.toml", kGood).settings.memory_mb == 256);
    CHECK(load_sidecar_settings("f.toml", kGood + "[limits]\nmemory_mb = \"32\"\n").settings.memory_mb == 32);
    const auto wrong = load_sidecar_settings("f.toml", kGood + "[limits]\nmemory_mb = \"31\"\n");
    REQUIRE(wrong.errors.size() == 1);
    CHECK(wrong.errors.front().text() == "f.toml limits.memory_mb: isn't a whole number from 32");
}

TEST_CASE("the descriptors are those that the system allows unless they are set") {
    CHECK(load_sidecar_settings("f.toml", kGood).settings.descriptors == 0);
    CHECK(
        load_sidecar_settings("f.toml", kGood + "[limits]\ndescriptors = \"4100\"\n").settings.descriptors ==
        4100);
    CHECK(load_sidecar_settings("f.toml", kGood + "[limits]\ndescriptors = \"x\"\n").errors.size() == 1);
}

TEST_CASE("the mechanisms for a shortage are on only where the loss of a zone must be borne") {
    const auto without_zones = load_sidecar_settings("f.toml", kGood);
    CHECK_FALSE(without_zones.settings.mechanisms.has(Mechanism::kSlotReservation));
    CHECK_FALSE(without_zones.settings.mechanisms.has(Mechanism::kServerSpeed));
    CHECK(without_zones.settings.mechanisms.has(Mechanism::kQuotas));
    const auto with_zone = load_sidecar_settings(
        "f.toml", kGood + "[tolerate]\nzones = \"1\"\n[lab]\nwithout = \"server-speed\"\n");
    REQUIRE(with_zone.errors.empty());
    CHECK(with_zone.settings.mechanisms.has(Mechanism::kSlotReservation));
    CHECK_FALSE(with_zone.settings.mechanisms.has(Mechanism::kServerSpeed));
    const auto wrong = load_sidecar_settings("f.toml", kGood + "[tolerate]\nzones = \"-1\"\n");
    REQUIRE(wrong.errors.size() == 1);
    CHECK(wrong.errors.front().text() == "f.toml tolerate.zones: isn't a whole number from 0");
}

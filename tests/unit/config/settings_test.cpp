#include "config/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace anisehold::config;

namespace {

constexpr const char* kGood = R"([daemon]
id = "d1"
zone = "a"
listen = "127.0.0.1:1"
peer = "127.0.0.1:2"
admin = "127.0.0.1:3"
mesh_key = "0123456789abcdef"
)";

std::string only_error(const std::string& text, const std::vector<SettingOverride>& overrides = {}) {
    const auto result = load_settings("file.toml", text, overrides);
    REQUIRE(result.errors.size() == 1);
    return result.errors.front().text();
}

}  // namespace

TEST_CASE("valid settings are loaded, and flags override the file") {
    const auto result = load_settings(
        "file.toml", kGood, {{"daemon.zone", "b"}, {"membership.seeds", "127.0.0.1:7,127.0.0.1:8"}});
    REQUIRE(result.errors.empty());
    CHECK(result.settings.daemon_id == "d1");
    CHECK(result.settings.daemon_zone == "b");
    CHECK(result.settings.membership_seeds.size() == 2);
    CHECK(result.settings.membership_period_ms == 500);
}

TEST_CASE("an invalid setting is rejected with its place") {
    const std::string good = kGood;
    CHECK(only_error(good + "[membership]\nperiod_ms = 5\n") ==
          "file.toml:9 membership.period_ms: is 5, allowed are 20 to 60000");
    CHECK(only_error(good + "[membership]\nperiod_ms = \"x\"\n") ==
          "file.toml:9 membership.period_ms: must be a whole number");
    CHECK(only_error(good + "[limits]\nspeed = 5\n") == "file.toml:9 limits.speed: is not a setting");
    CHECK(only_error(good + "[platform]\nstores = [\"localhost:1\"]\n") ==
          "file.toml:9 platform.stores: \"localhost:1\" is not IP:PORT with a numeric address");
    CHECK(only_error(good + "[log]\nlevel = \"loud\"\n") ==
          "file.toml:9 log.level: is \"loud\", allowed are debug|info|warn|error");
    CHECK(only_error(good, {{"limits.connections", "many"}}) ==
          "--limits-connections: \"many\" is not a whole number");
    CHECK(only_error(good.substr(0, good.find("mesh_key"))) == "file.toml daemon.mesh_key: is missing");
    CHECK(only_error(good + "broken").find("file.toml:") == 0);
}

TEST_CASE("only known mechanisms can be switched off, and only in the lab") {
    const std::string good = kGood;
    CHECK(only_error(good + "[lab]\nwithout = [\"claims\"]\n") ==
          "file.toml:9 lab.without: is only allowed with lab.enabled = true");
    CHECK(
        only_error(good + "[lab]\nenabled = true\nwithout = [\"magic\"]\n").find("\"magic\" is not one of") !=
        std::string::npos);
    CHECK(load_settings("f", good + "[lab]\nenabled = true\nwithout = [\"claims\"]\n", {}).errors.empty());
}

TEST_CASE("the settings page lists every setting with its type and default") {
    std::ifstream file(std::string(ANISEHOLD_SOURCE_DIR) + "/docs/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const auto& spec : setting_specs()) {
        std::string line =
            "| `" + std::string(spec.name) + "` | " + std::string(type_name(spec.field)) + " | ";
        line += (spec.required ? "(required)" : default_text(spec)) + std::string(" | ") +
                std::string(spec.description);
        INFO(line);
        CHECK(page.str().find(line) != std::string::npos);
    }
}

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "golden.hpp"
#include "platform/dialect.hpp"

using namespace anisehold;
using namespace anisehold::platform;

namespace {

std::string milliseconds_text(milliseconds value) {
    return std::to_string(value.count()) + " ms";
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

std::string_view rule_name(routing::RetryRule rule) {
    switch (rule) {
        case routing::RetryRule::kRetryable:
            return "repeatable";
        case routing::RetryRule::kAtMostOnce:
            return "at most once";
        case routing::RetryRule::kLargeAnswer:
            return "large answer";
    }
    return "unknown";
}

std::string text_of(const registration::Heartbeat& heartbeat) {
    return "  instance: " + heartbeat.instance + "\n  born: " + std::to_string(heartbeat.start_time.value) +
           "\n  service: " + heartbeat.service + "\n  address: " + heartbeat.address.text() +
           "\n  zone: " + heartbeat.zone + "\n  slots: " + std::to_string(heartbeat.slots) +
           "\n  draining: " + yes_or_no(heartbeat.draining) +
           "\n  sequence: " + std::to_string(heartbeat.sequence) +
           "\n  cold remaining: " + milliseconds_text(heartbeat.cold_remaining) + "\n";
}

std::string text_of(const routing::HostRoute& route) {
    std::string text = "route: " + route.name + "\n  host: " + route.host +
                       "\n  path prefix: " + route.path_prefix +
                       "\n  repeat: " + std::string(rule_name(route.retry)) +
                       "\n  timeout: " + milliseconds_text(route.timeout) +
                       "\n  target latency: " + milliseconds_text(route.target_latency) +
                       "\n  priority: " + std::to_string(route.priority) +
                       "\n  most servers: " + std::to_string(route.max_servers) +
                       "\n  allows anonymous: " + yes_or_no(route.allows_anonymous) + "\n";
    for (const auto& part : route.parts) {
        text += "  part: " + part.service + " weight " + std::to_string(part.weight) + "\n";
    }
    return text;
}

std::string text_of(const tenancy::KeyRing& ring) {
    std::string text;
    // The ring stores these entries unordered.
    std::map<std::string, tenancy::TenantTerms> tenants;
    for (const auto& [name, terms] : ring.tenants) {
        tenants[name.value] = terms;
    }
    for (const auto& [name, terms] : tenants) {
        text += "tenant: " + name + "\n  name: " + terms.name.value +
                "\n  priority: " + (terms.priority ? std::to_string(*terms.priority) : "none") +
                "\n  requests a second: " + std::to_string(terms.quota.ratePerS) +
                "\n  burst: " + std::to_string(terms.quota.burst) + "\n";
    }
    std::map<std::string, std::string> holders;
    for (const auto& [key, holder] : ring.holders) {
        holders[key.value] = holder.value;
    }
    for (const auto& [key, holder] : holders) {
        text += "key: " + key;
        text += " of " + holder + "\n";
    }
    return text + "usual priority: " + std::to_string(ring.usualPriority) + "\n";
}

std::string text_of(const routing::Configuration& configuration) {
    std::string text = "version: " + std::to_string(configuration.version) + "\n";
    for (const auto& route : configuration.routes) {
        text += text_of(route);
    }
    for (const auto& [name, terms] : configuration.services) {
        text += "service: " + name + "\n  health path: " + terms.health_path +
                "\n  most connections: " + std::to_string(terms.max_connections) + "\n";
    }
    const auto& clients = configuration.clients;
    text += "clients\n  header bytes: " + std::to_string(clients.header_bytes) +
            "\n  body bytes: " + std::to_string(clients.body_bytes) +
            "\n  header timeout: " + milliseconds_text(clients.header_timeout) +
            "\n  idle timeout: " + milliseconds_text(clients.idle_timeout) + "\n";
    return text + text_of(configuration.keys);
}

std::string text_of(const sidecar::ConfigurationReading& reading) {
    return reading.configuration ? text_of(*reading.configuration) : "problem: " + reading.problem + "\n";
}

constexpr const char* kFullConfiguration = R"({
  "version": "r42",
  "unknown": "skipped",
  "routes": {
    "browse": {"host": "shop.example", "pathPrefix": "/browse/", "kind": "safe", "timeout": "2.5s",
               "targetLatency": "150ms", "priority": 3, "retryAttempts": 4, "service": "catalogue",
               "allowAnonymous": true},
    "export": {"host": "shop.example", "pathPrefix": "/export/", "kind": "download", "timeout": "60s",
               "service": "export"},
    "order": {"host": "shop.example", "pathPrefix": "/order/", "kind": "unsafe", "timeout": "900ms",
              "retryAttempts": 0,
              "trafficSplit": [{"service": "order-a", "weight": 90}, {"service": "order-b", "weight": 10}]}
  },
  "services": {
    "catalogue": {"healthCheckPath": "/healthy", "maxConnections": 12},
    "export": {}, "order-a": {}, "order-b": {}
  },
  "tenants": {
    "first": {"priority": 1, "requestsPerS": 20.5, "burst": 7, "apiKeys": ["key-one", "key-two"]},
    "second": {"priority": 2, "apiKeys": ["key-three"]},
    "third": {"priority": 2, "apiKeys": []},
    "fourth": {"apiKeys": ["key-four"]}
  },
  "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000000, "headerTimeout": "4s", "idleTimeout": "20s"}
})";

constexpr const char* kLeastConfiguration = R"({"version": "r1",
  "routes": {"only": {"host": "h", "pathPrefix": "/", "kind": "unsafe", "timeout": "1s", "service": "s"}},
  "services": {"s": {}}})";

std::string replaced(std::string text, const std::string& old_part, const std::string& new_part) {
    const auto at = text.find(old_part);
    REQUIRE(at != std::string::npos);
    return text.replace(at, old_part.size(), new_part);
}

constexpr const char* kHeartbeat = R"({"information": {"service": "orders", "zone": "z1", "slots": 16},
  "address": "10.1.2.3:8080", "born": 1700000000123,
  "status": {"state": "ready", "sequence": 77, "coldRemaining": "1500ms"}, "unknown": 1})";

std::string registration_text(const std::string& method, const std::string& target, const std::string& body) {
    std::string problem;
    const auto call = Dialect().read_registration(net::make_request(method, target, body), problem);
    std::string text = method + " " + target + "\n";
    if (!call) {
        return text + "  not a registration, problem: \"" + problem + "\"\n";
    }
    text += "  leaves: " + yes_or_no(call->leaves) + "\n";
    return text + text_of(call->heartbeat);
}

std::string changed_heartbeat(const std::string& old_part, const std::string& new_part) {
    return registration_text("PUT", "/-/instances/i-1", replaced(kHeartbeat, old_part, new_part));
}

}  // namespace

TEST_CASE("every field of a configuration document is parsed", "[golden]") {
    golden::check("platform_configuration.txt",
                  "key: " + Dialect().configuration_key() + "\n-- every field\n" +
                      text_of(Dialect().read_configuration(kFullConfiguration)) + "-- the least\n" +
                      text_of(Dialect().read_configuration(kLeastConfiguration)));
}

TEST_CASE("error messages for configurations stay the same", "[golden]") {
    struct Mistake {
        std::string old_part;
        std::string new_part;
    };
    const std::vector<Mistake> mistakes{
        {R"("version": "r42",)", ""},
        {R"("r42")", "42"},
        {R"("r42")", R"("42")"},
        {R"("r42")", R"("r4x")"},
        {R"("routes")", R"("ways")"},
        {R"("host": "shop.example", )", ""},
        {R"("host": "shop.example")", R"("host": 5)"},
        {R"("pathPrefix": "/browse/", )", ""},
        {R"("kind": "safe")", R"("kind": "risky")"},
        {R"("timeout": "2.5s")", R"("timeout": "2.5")"},
        {R"("timeout": "2.5s")", R"("timeout": 2)"},
        {R"("targetLatency": "150ms")", R"("targetLatency": "soon")"},
        {R"("priority": 3)", R"("priority": -3)"},
        {R"("retryAttempts": 4)", R"("retryAttempts": "4")"},
        {R"("service": "catalogue",)", ""},
        {R"("weight": 90)", R"("weight": 0.5)"},
        {R"("allowAnonymous": true)", R"("allowAnonymous": "yes")"},
        {R"("services")", R"("servers")"},
        {R"("maxConnections": 12)", R"("maxConnections": "12")"},
        {R"("healthCheckPath": "/healthy")", R"("healthCheckPath": 7)"},
        {R"("requestsPerS": 20.5)", R"("requestsPerS": -1)"},
        {R"("burst": 7)", R"("burst": "7")"},
        {R"("key-one")", "1"},
        {R"("key-three")", R"("key-one")"},
        {R"("apiKeys": [])", R"("none": [])"},
        {R"("maxHeaderBytes": 8192)", R"("maxHeaderBytes": 81.5)"},
        {R"("maxBodyBytes": 1000000)", R"("maxBodyBytes": true)"},
        {R"("headerTimeout": "4s")", R"("headerTimeout": "4")"},
        {R"("idleTimeout": "20s")", R"("idleTimeout": "20m")"},
        {R"("idleTimeout": "20s"})", R"("idleTimeout": "20s")"},
    };
    std::string text;
    for (const auto& mistake : mistakes) {
        const auto document = replaced(kFullConfiguration, mistake.old_part, mistake.new_part);
        text += mistake.old_part + " -> " + mistake.new_part + "\n  " +
                text_of(Dialect().read_configuration(document));
    }
    text += "empty\n  " + text_of(Dialect().read_configuration(""));
    text += "list\n  " + text_of(Dialect().read_configuration("[]"));
    golden::check("platform_configuration_problems.txt", text);
}

TEST_CASE("registrations and leave requests are parsed", "[golden]") {
    std::string text = registration_text("PUT", "/-/instances/i-1", kHeartbeat);
    text += registration_text("PUT", "/-/instances/i-1?query=1", kHeartbeat);
    text += "-- draining\n" + changed_heartbeat(R"("ready")", R"("draining")");
    text += "-- without what may be left out\n" + changed_heartbeat(R"(, "born": 1700000000123)", "");
    text += changed_heartbeat(R"(, "coldRemaining": "1500ms")", "");
    text += "-- slots\n" + changed_heartbeat("16", "0") + changed_heartbeat("16", "1000001");
    text += "-- leaves\n" + registration_text("DELETE", "/-/instances/i-1", R"({"born": 1700000000123})");
    text += registration_text("DELETE", "/-/instances/i-1", "");
    text += registration_text("DELETE", "/-/instances/i-1", R"({"born": "1"})");
    text += "-- no registrations\n" + registration_text("GET", "/-/instances/i-1", "");
    text += registration_text("PUT", "/-/instances/", kHeartbeat);
    text += registration_text("PUT", "/instances/i-1", kHeartbeat);
    golden::check("platform_registration.txt", text);
}

TEST_CASE("error messages for heartbeats stay the same", "[golden]") {
    std::string text = changed_heartbeat(R"("information")", R"("info")");
    text += changed_heartbeat(R"("service": "orders", )", "");
    text += changed_heartbeat(R"("z1")", "1");
    text += changed_heartbeat("16", R"("16")");
    text += changed_heartbeat("10.1.2.3:8080", "localhost:8080");
    text += changed_heartbeat(R"("address")", R"("at")");
    text += changed_heartbeat("1700000000123", "-1");
    text += changed_heartbeat(R"("status")", R"("health")");
    text += changed_heartbeat(R"("ready")", R"("resting")");
    text += changed_heartbeat(R"("state")", R"("mood")");
    text += changed_heartbeat("77", "7.5");
    text += changed_heartbeat(R"("sequence": 77, )", "");
    text += changed_heartbeat("1500ms", "1500");
    text += registration_text("PUT", "/-/instances/i-1", "{");
    text += registration_text("PUT", "/-/instances/i-1", "[]");
    golden::check("platform_registration_problems.txt", text);
}

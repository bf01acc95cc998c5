#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "golden.hpp"
#include "platform/dialect.hpp"
#include "platform/names.hpp"
#include "protocol/request_digest.hpp"
#include "sidecar/crash_exchange.hpp"
#include "store/coordination_store.hpp"

using namespace anisehold;
using namespace anisehold::platform;

namespace {

std::string text_of(const net::HeaderFields& fields) {
    std::string text;
    for (const auto& field : fields) {
        text += "  " + std::string(field.name) + ": " + std::string(field.value) + "\n";
    }
    return text;
}

/// A request with every header line that a client may send, including unusual letter case.
net::HttpRequest client_request() {
    auto request = net::make_request("GET", "/a");
    request.fields.add("Host", "shop.example");
    request.fields.add("request-id", "9c41");
    request.fields.add("DEADLINE-MILLISECONDS", "1500");
    request.fields.add("Caller-Service", "forged");
    request.fields.add("expected-instance", "forged");
    request.fields.add("Tenant", "forged");
    request.fields.add("authorization", "Bearer key-one");
    request.fields.add("X-Other", "kept");
    return request;
}

std::string client_call_text(const net::HttpRequest& request) {
    const auto call = Dialect().read_client_call(request);
    return "  id: \"" + call.id +
           "\"\n  time left: " + (call.time_left ? std::to_string(call.time_left->count()) + " ms" : "none") +
           "\n";
}

std::string credentials_text(const std::vector<net::HeaderField>& lines) {
    auto request = net::make_request("GET", "/a");
    std::string text;
    for (const auto& line : lines) {
        request.fields.add(line.name, line.value);
        text += "\"" + line.name + ": " + line.value + "\" ";
    }
    const auto credentials = Dialect().read_credentials(request);
    return text + "-> key " + (credentials.key ? "\"" + credentials.key->value + "\"" : "none") +
           (credentials.isMalformed ? ", malformed" : "") + "\n";
}

std::string_view class_name(sidecar::ResponseClass nature) {
    switch (nature) {
        case sidecar::ResponseClass::kGenuine:
            return "genuine";
        case sidecar::ResponseClass::kNotRun:
            return "not run";
        case sidecar::ResponseClass::kUntrusted:
            return "spoiled";
    }
    return "unknown";
}

std::string nature_text(unsigned status, const std::vector<std::string>& names) {
    auto response = net::make_response(status, "text/plain", "body");
    std::string text = std::to_string(status);
    for (const auto& name : names) {
        response.fields.add(name, "1");
        text += " " + name;
    }
    return text + " -> " + std::string(class_name(Dialect().classify_response(response))) + "\n";
}

std::string health_text(unsigned status, const std::vector<net::HeaderField>& lines) {
    auto response = net::make_response(status, "text/plain", "");
    std::string text = std::to_string(status);
    for (const auto& line : lines) {
        response.fields.add(line.name, line.value);
        text += " \"" + line.name + ": " + line.value + "\"";
    }
    const auto health = Dialect().read_health(response);
    if (!health) {
        return text + " -> not well\n";
    }
    return text + " -> instance " + health->instance + ", slots " +
           (health->slots ? std::to_string(*health->slots) : "not told") + "\n";
}

std::string readiness_text(const std::string& method, const std::string& target) {
    const bool is_one = Dialect().is_readiness_call(net::make_request(method, target));
    return method + " " + target + " -> " + (is_one ? "yes" : "no") + "\n";
}

std::string retry_after_text(milliseconds wait) {
    net::HttpResponse response;
    Dialect().write_retry_after(response, wait);
    return std::to_string(wait.count()) + " ms\n" + text_of(response.fields);
}

}  // namespace

TEST_CASE("parsing of a client's call", "[golden]") {
    std::string text = "every line\n" + client_call_text(client_request());
    text += "no line\n" + client_call_text(net::make_request("GET", "/a"));
    for (const std::string deadline : {"0", "4294967295", "4294967296", "-1", "12ms", "1.5", " 7", ""}) {
        auto request = net::make_request("GET", "/a");
        request.fields.add("Deadline-Milliseconds", deadline);
        text += "deadline \"" + deadline + "\"\n" + client_call_text(request);
    }
    golden::check("platform_client_call.txt", text);
}

TEST_CASE("the header lines sent to a server", "[golden]") {
    auto request = client_request();
    std::string text = "as it came\n" + text_of(request.fields);
    Dialect().write_server_call(request, {"i-1", "orders", milliseconds(900)});
    text += "with what the system tells\n" + text_of(request.fields);
    Dialect().write_tenant(request, tenancy::TenantName("first"));
    text += "with its tenant\n" + text_of(request.fields);
    request = client_request();
    Dialect().write_tenant(request, tenancy::TenantName(""));
    text += "of no tenant\n" + text_of(request.fields);
    auto bare = net::make_request("GET", "/a");
    Dialect().write_server_call(bare, {"i-1", "", milliseconds(0)});
    Dialect().write_tenant(bare, tenancy::TenantName("first"));
    text += "of a bare request\n" + text_of(bare.fields);
    const auto echo = Dialect().echoed_field("9c41");
    text += "repeated in every answer\n  " + echo.name + ": " + echo.value + "\n";
    golden::check("platform_server_call.txt", text);
}

TEST_CASE("credentials", "[golden]") {
    std::string text = "no line " + credentials_text({});
    for (const std::string value : {"Bearer key", "bearer key", "BEARER  key ", " \tBearer\tkey", "Bearer",
                                    "Bearer ", "Bearer a b", "Basic key", "Bearerkey", "", "key"}) {
        text += credentials_text({{"Authorization", value}});
    }
    text += credentials_text({{"AUTHORIZATION", "Bearer key"}});
    text += credentials_text({{"Authorization", "Bearer a"}, {"authorization", "Bearer b"}});
    text += credentials_text({{"Authorization", "Bearer a"}, {"Authorization", "Bearer a"}});
    text += credentials_text({{"Authorization", "Basic a"}, {"Authorization", "Bearer b"}});
    text += credentials_text({{"Api-Key", "key"}});
    golden::check("platform_credentials.txt", text);
}

TEST_CASE("the nature of each kind of answer", "[golden]") {
    std::string text;
    for (const unsigned status : {100U, 199U, 200U, 204U, 299U, 300U, 304U, 400U, 404U, 408U, 409U, 421U,
                                  429U, 500U, 502U, 503U, 504U, 599U}) {
        text += nature_text(status, {});
        text += nature_text(status, {"Server-Signature"});
        text += nature_text(status, {"server-signature", "Content-Encoding"});
        text += nature_text(status, {"not-executed"});
        text += nature_text(status, {"Not-Executed", "Server-Signature", "Content-Encoding"});
    }
    golden::check("platform_answer_nature.txt", text);
}

TEST_CASE("the delay in Retry-After", "[golden]") {
    std::string text;
    for (const int wait : {0, 1, 50, 999, 1'000, 1'500, 61'234, 3'600'000}) {
        text += retry_after_text(milliseconds(wait));
    }
    golden::check("platform_retry_after.txt", text);
}

TEST_CASE("calls that ask for readiness", "[golden]") {
    golden::check("platform_readiness.txt",
                  readiness_text("GET", "/-/readiness") + readiness_text("GET", "/-/readiness?deep=1") +
                      readiness_text("HEAD", "/-/readiness") + readiness_text("POST", "/-/readiness") +
                      readiness_text("GET", "/-/readiness/") + readiness_text("GET", "/-/Readiness") +
                      readiness_text("GET", "/readiness") + readiness_text("GET", "/"));
}

TEST_CASE("parsing of a server's health response", "[golden]") {
    const net::HeaderField instance{"Instance-Id", "i-1"};
    std::string text = health_text(200, {}) + health_text(200, {instance}) + health_text(204, {instance}) +
                       health_text(199, {instance}) + health_text(300, {instance}) +
                       health_text(503, {instance}) + health_text(200, {{"instance-id", ""}}) +
                       health_text(200, {{"instance-id", "i-2"}, {"server-load", "1,2,3"}});
    for (const std::string load : {"3,0,16", "16", "3,16", "3,0,0", "3,0,", "3,0, 16", "3,0,x", "3,0,-1",
                                   "3,0,16,100", "3,0,16,", "3,0,,100", "3,0,16,100,7"}) {
        text += health_text(200, {instance, {"Server-Load", load}});
    }
    golden::check("platform_health.txt", text);
}

TEST_CASE("names of store calls and of stored keys", "[golden]") {
    const std::vector<std::pair<std::string_view, std::string_view>> spellings{
        {"path of reads", names::kKeyPath},
        {"path of lists", names::kRangePath},
        {"path of watches", names::kWatchPath},
        {"path of writes", names::kWritePath},
        {"key", names::kKey},
        {"value", names::kValue},
        {"revision of an item", names::kRevision},
        {"lease", names::kLease},
        {"revision of the store", names::kStoreRevision},
        {"items of a list", names::kItems},
        {"whether another page follows", names::kMore},
        {"changes of a watch", names::kEvents},
        {"whether an item was removed", names::kGone},
        {"conditions of a write", names::kConditions},
        {"items to write", names::kPut},
        {"keys to remove", names::kRemove},
        {"prefix of keys", names::kPrefix},
        {"where a page or watch starts", names::kAfter},
        {"longest time of a watch", names::kWait},
        {"whether it may be stale", names::kStale},
        {"key of the configuration", names::kConfigurationKey},
        {"prefix of verdicts' keys", sidecar::kVerdictPrefix},
    };
    std::string text;
    for (const auto& [meaning, spelling] : spellings) {
        text += std::string(meaning) + ": " + std::string(spelling) + "\n";
    }
    text += "end of a verdict's key: " + RequestDigest{0x0123456789abcdefULL, 0xfedcba9876543210ULL}.text() +
            "\n";
    text += "most items of a write: " + std::to_string(store::kMaxItemsPerWrite) + "\n";
    using enum store::CallOutcome;
    for (const auto outcome : {kDone, kNotFound, kConflict, kHistoryLost, kRefused, kUnknown}) {
        text += "outcome: " + std::string(store::call_outcome_name(outcome)) + "\n";
    }
    golden::check("platform_store_names.txt", text);
}

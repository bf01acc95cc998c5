#include "platform/dialect.hpp"

#include <catch2/catch.hpp>

using namespace anisehold;
using namespace anisehold::platform;
using sidecar::ResponseClass;

namespace {

net::HttpResponse answer(unsigned status, bool with_signature) {
    auto response = net::make_response(status, "text/plain", "body");
    if (with_signature) {
        response.fields.set("Server-Signature", "s");
    }
    return response;
}

}  // namespace

TEST_CASE("the id and the remaining time of a request are parsed") {
    auto request = net::make_request("GET", "/a");
    request.fields.add("request-id", "9c41");
    request.fields.add("Deadline-Milliseconds", "1500");
    const auto call = Dialect().read_client_call(request);
    CHECK(call.id == "9c41");
    CHECK(call.time_left == milliseconds(1'500));
    CHECK_FALSE(Dialect().read_client_call(net::make_request("GET", "/a")).time_left);
}

TEST_CASE("header fields set by the client are overwritten") {
    auto request = net::make_request("GET", "/a");
    request.fields.add("Caller-Service", "forged");
    request.fields.add("Expected-Instance", "forged");
    Dialect().write_server_call(request, {"i-1", "orders", milliseconds(900)});
    CHECK(request.fields.find("Caller-Service") == "orders");
    CHECK(request.fields.find("Expected-Instance") == "i-1");
    CHECK(request.fields.find("Deadline-Milliseconds") == "900");
}

TEST_CASE("only a complete response of a server is forwarded") {
    CHECK(Dialect().classify_response(answer(200, true)) == ResponseClass::kGenuine);
    CHECK(Dialect().classify_response(answer(500, true)) == ResponseClass::kGenuine);
    CHECK(Dialect().classify_response(answer(200, false)) == ResponseClass::kUntrusted);
    auto encoded = answer(200, true);
    encoded.fields.set("Content-Encoding", "gzip");
    CHECK(Dialect().classify_response(encoded) == ResponseClass::kUntrusted);
}

TEST_CASE("only the server's own declaration shows that the request has not run") {
    auto declared = answer(503, false);
    declared.fields.set("Not-Executed", "1");
    CHECK(Dialect().classify_response(declared) == ResponseClass::kNotRun);
    CHECK(Dialect().classify_response(answer(421, false)) == ResponseClass::kNotRun);
    // If forwarded, each of these statuses would tell the client that the request has not run.
    for (const unsigned status : {408U, 429U, 503U}) {
        CHECK(Dialect().classify_response(answer(status, true)) == ResponseClass::kUntrusted);
    }
}

// Guards against an order that is reported as not run, or runs again, although its server has begun it.
TEST_CASE("a declaration that the status contradicts is not trusted") {
    for (const unsigned status : {103U, 200U, 302U, 500U, 504U}) {
        auto contradictory = answer(status, true);
        contradictory.fields.set("Not-Executed", "1");
        CHECK(Dialect().classify_response(contradictory) == ResponseClass::kUntrusted);
    }
}

TEST_CASE("heartbeats and leaves are parsed") {
    const std::string body =
        R"({"address":"10.128.0.9:8080","information":{"service":"s","version":"v1","zone":"z","slots":87},)"
        R"("status":{"state":"draining","sequence":4,"coldRemaining":"250ms"},"more":1})";
    std::string problem;
    const auto call =
        Dialect().read_registration(net::make_request("PUT", "/-/instances/i-7", body), problem);
    REQUIRE(call);
    CHECK(call->heartbeat.instance == "i-7");
    CHECK(call->heartbeat.slots == 87);
    CHECK(call->heartbeat.draining);
    CHECK(call->heartbeat.cold_remaining == milliseconds(250));
    const auto leave = Dialect().read_registration(net::make_request("DELETE", "/-/instances/i-7"), problem);
    REQUIRE(leave);
    CHECK(leave->leaves);
    CHECK_FALSE(Dialect().read_registration(net::make_request("PUT", "/-/instances/"), problem));
    CHECK_FALSE(Dialect().read_registration(net::make_request("PUT", "/other"), problem));
    CHECK(problem.empty());
}

TEST_CASE("a malformed heartbeat is rejected with the path of the field") {
    for (const auto* body : {"", "[]", "{}", R"({"address":"x","information":{},"status":{}})",
                             R"({"address":5,"information":{"service":1},"status":7})"}) {
        std::string problem;
        CHECK_FALSE(Dialect().read_registration(net::make_request("PUT", "/-/instances/i-7", body), problem));
        CHECK_FALSE(problem.empty());
    }
}

// Guards against names that make the machine's record too large for a datagram.
TEST_CASE("a heartbeat with an overlong or empty name, or without a port, is rejected") {
    const auto problem_of = [](const std::string& instance, const std::string& address,
                               const std::string& service, const std::string& zone) {
        const auto body = R"({"address":")" + address + R"(","information":{"service":")" + service +
                          R"(","zone":")" + zone + R"(","slots":1},"status":{"state":"ready","sequence":1}})";
        std::string problem;
        Dialect().read_registration(net::make_request("PUT", "/-/instances/" + instance, body), problem);
        return problem;
    };
    const std::string longest(255, 'x');
    const std::string overlong(256, 'x');
    CHECK(problem_of(longest, "127.0.0.1:1", longest, longest).empty());
    CHECK_FALSE(problem_of(overlong, "127.0.0.1:1", "back", "z1").empty());
    CHECK_FALSE(problem_of("i-1", "127.0.0.1:1", overlong, "z1").empty());
    CHECK_FALSE(problem_of("i-1", "127.0.0.1:1", "back", overlong).empty());
    CHECK_FALSE(problem_of("i-1", "127.0.0.1:1", "", "z1").empty());
    CHECK_FALSE(problem_of("i-1", "127.0.0.1:1", "back", "").empty());
    CHECK_FALSE(problem_of("i-1", "127.0.0.1:0", "back", "z1").empty());

    std::string problem;
    CHECK_FALSE(
        Dialect().read_registration(net::make_request("DELETE", "/-/instances/" + overlong), problem));
    CHECK_FALSE(problem.empty());
}

TEST_CASE("a configuration is parsed") {
    const std::string text =
        R"({"version":"r7","routes":{"one":{"host":"a.example","pathPrefix":"/x/","kind":"unsafe",)"
        R"("timeout":"1200ms","targetLatency":"1.5s","priority":3,"service":"s1","retryAttempts":2},)"
        R"("two":{"host":"a.example","pathPrefix":"/y/","kind":"download","timeout":"1s",)"
        R"("trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"retryAttempts":0}},)"
        R"("services":{"s1":{"healthCheckPath":"/health","maxConnections":364}},)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeout":"3s","idleTimeout":"15s"}})";
    const auto reading = Dialect().read_configuration(text);
    REQUIRE(reading.configuration);
    const auto& configuration = *reading.configuration;
    CHECK(configuration.version == 7);
    CHECK(configuration.clients.body_bytes == 100);
    CHECK(configuration.services.at("s1").max_connections == 364);
    const auto* one = configuration.find("a.example", "/x/1");
    REQUIRE(one != nullptr);
    CHECK(one->retry == routing::RetryRule::kAtMostOnce);
    CHECK(one->timeout == milliseconds(1'200));
    CHECK(one->max_servers == 2);
    const auto* two = configuration.find("a.example", "/y/1");
    REQUIRE(two != nullptr);
    CHECK(two->retry == routing::RetryRule::kLargeAnswer);
    CHECK(two->parts.size() == 2);
    CHECK(two->max_servers == 1);
}

TEST_CASE("a malformed configuration is rejected with the path of the field") {
    for (const auto* text :
         {"", "{", "[]", R"({"version":"r7"})", R"({"version":"7","routes":{},"services":{}})",
          R"({"version":"r7x","routes":{},"services":{}})",
          R"({"version":"r1","routes":{"a":{}},"services":{}})"}) {
        const auto reading = Dialect().read_configuration(text);
        CHECK_FALSE(reading.configuration);
        CHECK_FALSE(reading.problem.empty());
    }
}

TEST_CASE("the retry-after time is written in seconds with a fraction") {
    auto response = net::make_response(503, "text/plain", "");
    Dialect().write_retry_after(response, milliseconds(350));
    CHECK(response.fields.find("Retry-After") == "0.350");
}

TEST_CASE("a server is healthy only if it reports success and its instance id") {
    auto well = answer(200, false);
    CHECK_FALSE(Dialect().read_health(well));
    well.fields.set("Instance-Id", "i-1");
    REQUIRE(Dialect().read_health(well));
    CHECK(Dialect().read_health(well)->instance == "i-1");
    CHECK_FALSE(Dialect().read_health(well)->slots);
    well.fields.set("Server-Load", "3,0,20");
    CHECK(Dialect().read_health(well)->slots == 20U);
    well.fields.set("Server-Load", "3,0,x");
    CHECK_FALSE(Dialect().read_health(well)->slots);
    auto leaving = answer(503, false);
    leaving.fields.set("Instance-Id", "i-1");
    CHECK_FALSE(Dialect().read_health(leaving));
}

// Guards against figures that would draw all requests to a server, or none.
TEST_CASE("a server's present slowness is decoded, and ignored if it is not credible") {
    const auto slowness = [](const std::vector<std::string>& loads) {
        auto response = answer(200, true);
        for (const auto& load : loads) {
            response.fields.add("server-load", load);
        }
        return Dialect().read_notice(response)->slowness_percent;
    };
    CHECK(slowness({"3,0,20,100"}) == 100U);
    CHECK(slowness({"3,0,20,250,7"}) == 250U);
    CHECK(slowness({"3,0,20,10"}) == 10U);
    CHECK(slowness({"3,0,20,10000"}) == 10'000U);
    CHECK_FALSE(slowness({}));
    CHECK_FALSE(slowness({"3,0,20,100", "3,0,20,250"}));
    for (const auto* load : {"3,0,20", "3,0,20,", "3,0,20,x", "3,0,20,0", "3,0,20,-5", "3,0,20,9",
                             "3,0,20,10001", "3,0,20,1e3", "3,0,20,99999999999", "3,0,20, 100", "", ",,,"}) {
        CHECK_FALSE(slowness({load}));
    }
}

// Guards against taking the server's present slowness, its fourth figure, for its number of slots: a gate
// that runs 100 requests at a server of 20 slots overloads it.
TEST_CASE("the slots in a health response are the third figure, whatever follows") {
    auto well = answer(200, false);
    well.fields.set("Instance-Id", "i-1");
    for (const auto* load : {"3,0,20,100", "3,0,20,250", "3,0,20,", "3,0,20,x", "3,0,20,100,7"}) {
        well.fields.set("Server-Load", load);
        REQUIRE(Dialect().read_health(well));
        CHECK(Dialect().read_health(well)->slots == 20U);
    }
    for (const auto* load : {"3,0,x,100", "3,0,,100", "3,0,0,100"}) {
        well.fields.set("Server-Load", load);
        CHECK_FALSE(Dialect().read_health(well)->slots);
    }
}

// Guards against a gate that computes with more slots than its numbers hold.
TEST_CASE("the slots in a health response are limited like those in a heartbeat") {
    auto well = answer(200, false);
    well.fields.set("Instance-Id", "i-1");
    for (const auto* load : {"3,0,1000001", "3,0,4294967295", "3,0,18446744073709551615"}) {
        well.fields.set("Server-Load", load);
        REQUIRE(Dialect().read_health(well));
        CHECK(Dialect().read_health(well)->slots == 1'000'000U);
    }
    well.fields.set("Server-Load", "3,0,18446744073709551616");
    CHECK_FALSE(Dialect().read_health(well)->slots);
}

namespace {

tenancy::Credentials credentials_of(const std::vector<std::string>& lines) {
    auto request = net::make_request("GET", "/a");
    for (const auto& line : lines) {
        request.fields.add("authorization", line);
    }
    return Dialect().read_credentials(request);
}

}  // namespace

TEST_CASE("a caller's key is parsed in every form that the scheme allows") {
    for (const auto* line : {"Bearer k1", "bearer k1", "BEARER  k1 ", " Bearer\tk1"}) {
        const auto credentials = credentials_of({line});
        REQUIRE(credentials.key);
        CHECK(credentials.key->value == "k1");
        CHECK_FALSE(credentials.isMalformed);
    }
    CHECK_FALSE(credentials_of({}).key);
    CHECK_FALSE(credentials_of({}).isMalformed);
    for (const auto* line : {"", "Bearer", "Bearer ", "Basic k1", "k1", "Bearer k1 k2", "Bearerk1"}) {
        CHECK(credentials_of({line}).isMalformed);
    }
    CHECK(credentials_of({"Bearer k1", "Bearer k2"}).isMalformed);
    CHECK(credentials_of({"Bearer k1", "Bearer k1"}).isMalformed);
}

TEST_CASE("the server receives the tenant's name and never the key") {
    auto request = net::make_request("GET", "/a");
    request.fields.add("Authorization", "Bearer k1");
    request.fields.add("authorization", "Bearer k2");
    request.fields.add("Tenant", "forged");
    Dialect().write_tenant(request, tenancy::TenantName("blue"));
    CHECK(request.fields.find("Tenant") == "blue");
    CHECK_FALSE(request.fields.find("Authorization"));
    request.fields.add("tenant", "forged");
    Dialect().write_tenant(request, {});
    CHECK_FALSE(request.fields.find("Tenant"));
}

namespace {

std::string with_tenants(const std::string& tenants) {
    return R"({"version":"r7","routes":{},"services":{},"tenants":)" + tenants + "}";
}

}  // namespace

TEST_CASE("tenants, their keys and quotas are parsed") {
    const auto reading = Dialect().read_configuration(with_tenants(
        R"({"blue":{"apiKeys":["k1","k2"],"priority":1,"requestsPerS":39.5,"burst":40},"green":{"apiKeys":[]}})"));
    REQUIRE(reading.configuration);
    const auto& keys = reading.configuration->keys;
    CHECK(reading.configuration->has_tenants());
    REQUIRE(tenancy::holderOf(keys, tenancy::ApiKey("k2")) != nullptr);
    CHECK(tenancy::holderOf(keys, tenancy::ApiKey("k2"))->quota.ratePerS == Approx(39.5));
    CHECK_FALSE(tenancy::termsOf(keys, tenancy::TenantName("green"))->quota.isLimited());
    CHECK(tenancy::holderOf(keys, tenancy::ApiKey("k3")) == nullptr);
}

TEST_CASE("an error in a tenant's definition doesn't disclose a key") {
    for (const auto* tenants :
         {R"({"blue":{"apiKeys":["secret-1"]},"green":{"apiKeys":["secret-1"]}})", R"({"blue":{}})",
          R"({"blue":{"apiKeys":["secret-1",""]}})", R"({"blue":{"apiKeys":["secret-1",7]}})",
          R"({"blue":{"apiKeys":["secret-1"],"requestsPerS":-1}})",
          R"({"blue":{"apiKeys":["secret-1"],"priority":"high"}})"}) {
        const auto reading = Dialect().read_configuration(with_tenants(tenants));
        CHECK_FALSE(reading.configuration);
        CHECK(reading.problem.find("tenants.") != std::string::npos);
        CHECK(reading.problem.find("secret-1") == std::string::npos);
    }
}

TEST_CASE("a JSON syntax error in a configuration doesn't disclose its content") {
    const auto whole = with_tenants(R"({"blue":{"apiKeys":["secret-1"]}})");
    for (std::size_t length = 1; length < whole.size(); ++length) {
        const auto problem = Dialect().read_configuration(whole.substr(0, length)).problem;
        CHECK(problem.find("byte") != std::string::npos);
        CHECK(problem.find("secret") == std::string::npos);
    }
}

namespace {

std::optional<sidecar::ServerNotice> notice_of(const std::vector<net::HeaderField>& fields,
                                               unsigned status = 200) {
    auto response = answer(status, true);
    for (const auto& field : fields) {
        response.fields.add(field.name, field.value);
    }
    return Dialect().read_notice(response);
}

}  // namespace

TEST_CASE("a server's rate limit is parsed in thousandths of a request per second") {
    CHECK_FALSE(notice_of({})->rate_limit);
    CHECK(notice_of({{"server-limit", "11.5"}})->rate_limit == RequestRate(11'500));
    CHECK(notice_of({{"Server-Limit", "0"}})->rate_limit == RequestRate(0));
    CHECK(notice_of({{"Server-Limit", "0.5"}}, 503)->rate_limit == RequestRate(500));
    CHECK(notice_of({{"Server-Limit", "900000000000"}})->rate_limit == RequestRate(4'294'967'295));
}

TEST_CASE("a malformed rate limit neither sets nor ends a limit") {
    for (const char* text : {"", "many", "-1", "-0", "+5", "inf", "nan", "1e999", "1e3", "0x10",
                             "11.5 a second", "11,5", "11;12"}) {
        const auto notice = notice_of({{"Server-Limit", text}});
        CHECK_FALSE(notice->rate_limit);
        CHECK(notice->has_malformed_limit);
    }
    for (const auto& [first, second] :
         std::vector<std::pair<std::string, std::string>>{{"5", "6"}, {"5", "x"}, {"x", "5"}, {"5", "5"}}) {
        const auto doubled =
            notice_of({{"Server-Limit", first}, {"Server-Limit", second}, {"Server-Limit", "7"}});
        CHECK_FALSE(doubled->rate_limit);
        CHECK(doubled->has_malformed_limit);
    }
}

TEST_CASE("statements of a server are accepted only from the expected instance") {
    CHECK(notice_of({{"Server-Leaving", "1"}})->is_leaving);
    CHECK_FALSE(notice_of({{"Server-Leaving", "0"}})->is_leaving);
    CHECK_FALSE(notice_of({{"Server-Limit", "5"}})->is_leaving);
    CHECK_FALSE(notice_of({{"Server-Leaving", "1"}, {"Server-Limit", "5"}}, 421));
}

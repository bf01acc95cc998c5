#include <catch2/catch.hpp>
#include <fstream>

#include "lab/answer_body.hpp"
#include "net/http_client.hpp"
#include "protocol/call_context.hpp"
#include "tests/integration/raw_socket.hpp"
#include "tests/support/fleet.hpp"

using namespace anisehold;
using namespace anisehold::testing;

namespace {

constexpr std::size_t kLargeBodyBytes = 1'000'000;

std::optional<net::HttpResponse> send(const Endpoint& server, net::HttpRequest& request) {
    net::HttpClient client(Fleet::loop().io(), server);
    net::ExchangeProgress progress;
    std::error_code error;
    auto response =
        client.exchange(request, {TimePoint::clock::now() + seconds(5), nullptr}, progress, error);
    if (response) {
        // The rest is read while the client is connected.
        response->body.prefix =
            net::read_whole(response->body, net::kMaxFetchedTextBytes, error).value_or("");
        response->body.rest.reset();
    }
    return response;
}

net::HttpRequest payment(const std::string& key, std::string body) {
    auto request = net::make_request("POST", "/dues/" + key, std::move(body));
    request.fields.set("Host", "bookings");
    request.fields.set(lab::kRequestHeader, key);
    request.fields.set(header::kIdempotencyKey, key);
    return request;
}

net::HttpRequest accept_request(const std::string& token, const nlohmann::json& body) {
    auto request = net::make_request("POST", "/table/accept", body.dump());
    request.fields.set("Authorization", "Bearer " + token);
    return request;
}

}  // namespace

TEST_CASE(
    "the path: large bodies both ways, kept answers, explanations, and the table through the admin port",
    "[path]") {
    FleetOptions options;
    options.base_port = 23'500;
    Fleet fleet(options);
    REQUIRE(fleet.start());
    const auto& daemon = fleet.daemons().front();

    SECTION("bodies larger than the buffer are streamed") {
        auto upload = payment("large", std::string(kLargeBodyBytes, 'x'));
        CHECK(send(daemon.call, upload)->status == 200);
        auto download = net::make_request("GET", "/packs/1");
        download.fields.set("Host", "archive");
        download.fields.set(lab::kRequestHeader, "pack");
        const auto response = send(daemon.call, download);
        const auto bytes = fleet.deployment().kind("download-pack")->answer_bytes;
        CHECK(lab::check_answer_body(response->body.prefix, "download-pack", "pack", bytes) ==
              lab::BodyCheck::kWhole);
    }

    SECTION("an incomplete upload is not executed") {
        raw_exchange(
            daemon.call,
            "POST /dues/half HTTP/1.1\r\nHost: bookings\r\nLab-Request: half\r\nIdempotency-Key: half\r\n"
            "Content-Length: 1000000\r\n\r\n" +
                std::string(200'000, 'x'));
        CHECK(fleet.executions("pay-dues").committed["half"] == 0);
        auto next = payment("next", "");
        CHECK(send(daemon.call, next)->status == 200);
    }

    SECTION(
        "a repeated key gets the stored response through any daemon; a different request gets a conflict") {
        auto first = payment("key-1", "amount=1");
        const auto answer = send(daemon.call, first);
        REQUIRE(answer->status == 200);
        for (const auto& place : fleet.daemons()) {
            auto repeated = payment("key-1", "amount=1");
            const auto replayed = send(place.call, repeated);
            CHECK(replayed->status == 200);
            CHECK(replayed->body.prefix == answer->body.prefix);
            CHECK(replayed->fields.find(header::kReplayed) == "true");
        }
        auto different = payment("key-1", "amount=2");
        CHECK(send(daemon.call, different)->status == 422);
        CHECK(fleet.executions("pay-dues").started["key-1"] == 1);
    }

    SECTION("status and explain show what happened") {
        auto request = payment("explained", "");
        const auto answer = send(daemon.call, request);
        const std::string id(answer->fields.find(header::kRequestId).value_or(""));
        const auto explained =
            fleet.run_program("anisehold", {"explain", "--daemon", daemon.admin.text(), id});
        CHECK(explained.status == 0);
        for (const auto* step :
             {"received", "claimed  won", "dispatched  bookings", "accounted", "answered  status 200"}) {
            CHECK(explained.output.find(step) != std::string::npos);
        }
        const auto status = fleet.run_program("anisehold", {"status", "--daemon", daemon.admin.text()});
        CHECK(status.output.find(fleet.daemons()[2].name) != std::string::npos);
        CHECK(status.output.find("in flight") != std::string::npos);
        CHECK(fleet.get_text(daemon.admin, "/metrics").find("anisehold_claims_total{result=\"won\"}") !=
              std::string::npos);
    }
    SECTION("explain reads log files, given separately or together, and counts the failures in them") {
        const std::string log = fleet.run_folder() + "/sidecar.log";
        std::ofstream(log) << R"({"time":"2026-12-02T10:11:12.345Z","level":"info","event":1601,)"
                           << R"("name":"ingress-call","member":"m","request_id":"r-1","route":"r",)"
                           << R"("service":"s","attempts":"","outcome":"overloaded"})"
                           << "\n";
        const std::vector<std::vector<std::string>> calls{{"explain", "--log", log, "r-1"},
                                                          {"explain", "--log", log, "--log", log, "r-1"},
                                                          {"explain", "--log", log, log, "r-1"},
                                                          {"explain", "--summary", log, log}};
        for (const auto& call : calls) {
            const auto explanation = fleet.run_program("anisehold", call);
            CHECK(explanation.status == 0);
            CHECK(explanation.output.find("r-1") != std::string::npos);
        }
        CHECK(fleet.run_program("anisehold", {"explain", "--summary", log + "-missing"}).status == 2);
        CHECK(fleet.run_program("anisehold", {"explain", "--log", log}).status != 0);
    }

    SECTION("the page shows the table, and accepts changes only with the token") {
        CHECK(fleet.get_text(daemon.admin, "/").find("<h1>The table</h1>") != std::string::npos);
        const auto table = fleet.get(daemon.admin, "/table");
        const auto csv = fleet.run_table({"export"}).output;
        auto changed = csv;
        changed.replace(changed.find("archive,service,,7"), 18, "archive,service,,9");
        nlohmann::json body{
            {"revision", table->at("revision")}, {"base_csv", csv}, {"csv", changed}, {"author", "page"}};
        auto refused = accept_request("wrong", body);
        CHECK(send(daemon.admin, refused)->status == 403);
        auto accepted = accept_request("lab-operator", body);
        CHECK(send(daemon.admin, accepted)->status == 200);
        CHECK(fleet.eventually(seconds(3), [&] {
            const auto zones = fleet.get(daemon.admin, "/table/zones");
            const auto wanted = table->at("revision").get<std::uint64_t>();
            bool everywhere = zones && zones->at("zones").size() == 3;
            for (const auto& zone : everywhere ? zones->at("zones") : nlohmann::json::array()) {
                everywhere = everywhere && zone.front().at("table_revision").get<std::uint64_t>() > wanted;
            }
            return everywhere;
        }));
        auto other = csv;
        other.replace(other.find("archive,service,,7"), 18, "archive,service,,8");
        body["csv"] = other;
        auto colliding = accept_request("lab-operator", body);
        CHECK(send(daemon.admin, colliding)->status == 409);
        body["csv"] = "nonsense";
        auto bad = accept_request("lab-operator", body);
        CHECK(send(daemon.admin, bad)->status == 400);
    }
}

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "golden.hpp"
#include "membership/peer_directory.hpp"
#include "platform/dialect.hpp"
#include "sidecar/call_ingress.hpp"

using namespace anisehold;
using namespace anisehold::sidecar;

namespace {

/// A store that rejects every call.
class DeafStore final : public store::CoordinationStore {
  public:
    store::ReadReply read(const std::string& /*key*/, store::ReadMode /*freshness*/,
                          TimePoint /*deadline*/) override {
        return {store::CallOutcome::kRefused, {}, 0};
    }
    store::ListReply list(const std::string& /*prefix*/, const std::string& /*after*/,
                          store::ReadMode /*freshness*/, TimePoint /*deadline*/) override {
        return {store::CallOutcome::kRefused, {}, 0, false, 0};
    }
    store::WatchReply watch(const std::string& /*prefix*/, std::uint64_t /*after_revision*/,
                            milliseconds /*wait*/) override {
        return {store::CallOutcome::kRefused, {}, 0, 0};
    }
    store::WriteReply write(const std::vector<store::StoreItem>& /*items*/, TimePoint /*deadline*/) override {
        return {store::CallOutcome::kRefused, 0};
    }
    store::WriteReply remove(const std::string& /*key*/, std::uint64_t /*revision*/,
                             TimePoint /*deadline*/) override {
        return {store::CallOutcome::kRefused, 0};
    }
};

config::SidecarSettings settings() {
    config::SidecarSettings settings;
    settings.name = "n1";
    settings.zone = "z1";
    settings.service = "orders";
    return settings;
}

/// The ingress of a sidecar that has not been started.
struct Entrance {
    boost::asio::io_context io;
    platform::Dialect dialect;
    SidecarContext context{io, dialect, settings()};
    DeafStore store;
    membership::PeerDirectory directory{"n1", "z1", {}};
    ConfigurationHolder configuration{context};
    CrashExchange crashes{context, store, directory};
    LocalGate gate{context, crashes};
    ProofKeeper freshness{context, store, configuration, directory};
    QuotaExchange quotas{context, configuration, directory};
    CallIngress ingress{context, configuration, directory, gate, freshness, quotas, crashes};

    net::HttpResponse ask(const std::string& host, const std::string& id, const std::string& authorization) {
        auto request = net::make_request("GET", "/a/b");
        request.fields.add("Host", host);
        if (!id.empty()) {
            request.fields.add("Request-Id", id);
        }
        if (!authorization.empty()) {
            request.fields.add("Authorization", authorization);
        }
        net::CancelSignal cancel;
        return ingress.handle(request, cancel);
    }
};

std::string text_of(const net::HttpResponse& response) {
    std::string text = "  " + std::to_string(response.status) + "\n";
    for (const auto& field : response.fields) {
        text += "  " + std::string(field.name) + ": " + std::string(field.value) + "\n";
    }
    return text + "  " + response.body.prefix + "\n";
}

constexpr const char* kConfiguration = R"({"version": "r1",
  "routes": {"only": {"host": "shop.example", "pathPrefix": "/", "kind": "safe", "timeout": "1s",
                      "service": "s"}},
  "services": {"s": {}}, "tenants": {"first": {"apiKeys": ["key-one"]}}})";

}  // namespace

TEST_CASE("the problem document of each error kind at the sidecar", "[golden]") {
    Entrance entrance;
    std::string text;
    for (const auto& answer : error_answers()) {
        text += std::string(answer.name) + "\n" + text_of(entrance.ingress.reject(answer.kind));
    }
    golden::check("platform_problem_documents.txt", text);
}

TEST_CASE("a refused request's id is repeated in the problem document", "[golden]") {
    Entrance entrance;
    std::string text = "no configuration\n" + text_of(entrance.ask("shop.example", "id-1", ""));
    REQUIRE(entrance.configuration.offer(kConfiguration, ConfigurationSource::kStore) ==
            OfferOutcome::kTaken);
    text += "unknown host\n" + text_of(entrance.ask("else.example", "id-2", ""));
    text += "no id\n" + text_of(entrance.ask("shop.example", "", "Bearer key-one"));
    text += "no key\n" + text_of(entrance.ask("shop.example", "id-3", ""));
    text += "unknown key\n" + text_of(entrance.ask("shop.example", "id-4", "Bearer key-two"));
    text += "an id with odd characters\n" +
            golden::hex_dump(text_of(entrance.ask("else.example", "a\"b\\c \xC3\xA9 \xFF", "")));
    golden::check("platform_problem_requests.txt", text);
}

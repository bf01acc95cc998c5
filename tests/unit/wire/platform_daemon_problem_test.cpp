#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <regex>
#include <string>

#include "daemon/ingress.hpp"
#include "golden.hpp"

using namespace anisehold;
using namespace anisehold::daemon;

namespace {

membership::MemberInfo member() {
    membership::MemberInfo info;
    info.id = "d1";
    info.zone = "z1";
    info.boot_id = 1;
    return info;
}

/// The ingress of a daemon that has not been started.
struct Entrance {
    boost::asio::io_context io;
    DaemonContext context{io, {}, {}, member(), {}, {}, std::mt19937_64(1)};
    PeerClient peers{context};
    MembershipService membership{context, peers};
    DocumentService documents{context, peers, membership};
    ClaimService claims{context, peers, membership, documents};
    routing::BackendRegistry registry;
    GateService gates{context, membership, registry};
    Ingress ingress{context, peers, membership, documents, claims, gates, registry};
};

/// Replaces the Retry-After delay, which has a random part.
std::string with_masked_pause(const std::string& body) {
    return std::regex_replace(body, std::regex(R"("retry_after_ms":[0-9]+)"), R"("retry_after_ms":PAUSE)");
}

std::string text_of(const net::HttpResponse& response) {
    std::string text = "  " + std::to_string(response.status) + "\n";
    for (const auto& field : response.fields) {
        text += "  " + std::string(field.name);
        text += ": " + std::string(field.value) + "\n";
    }
    return text + "  " + with_masked_pause(response.body.prefix) + "\n";
}

}  // namespace

TEST_CASE("the problem document of each error kind at the daemon", "[golden]") {
    Entrance entrance;
    std::string text;
    for (const auto& answer : error_answers()) {
        text += std::string(answer.name) + "\n" + text_of(entrance.ingress.reject(answer.kind));
    }
    golden::check("platform_daemon_problem_documents.txt", text);
}

#include <array>
#include <catch2/catch.hpp>

#include "claims/holder_view.hpp"
#include "protocol/message_digest.hpp"
#include "protocol/request_digest.hpp"
#include "routing/rendezvous.hpp"
#include "wire_samples.hpp"

using namespace anisehold;

namespace {

const std::vector<std::string> kMembers{"daemon-1", "daemon-2", "daemon-3", "daemon-4", "daemon-5"};
constexpr std::array<const char*, 3> kKeys{"", "key-1",
                                           "a key that is longer than the digest's short inputs"};

/// A text of every byte value, from which short, medium and long inputs of the digest are cut.
std::string long_text() {
    std::string text;
    for (int value = 0; value < 1'000; ++value) {
        text.push_back(static_cast<char>(value));
    }
    return text;
}

}  // namespace

TEST_CASE("digests of fixed inputs stay the same", "[golden]") {
    std::string text;
    for (const auto& input : {std::string(), std::string("orders"), long_text()}) {
        const auto length = std::to_string(input.size());
        text += "64 bits of " + length + " bytes: " + std::to_string(digest64(input)) + '\n';
        text += "64 bits of " + length + " bytes, seed 7: " + std::to_string(digest64(input, 7)) + '\n';
        text += "caller of " + length + " bytes: " + std::to_string(caller_digest(input).value) + '\n';
        text += "code of " + length +
                " bytes: " + to_hex(message_authentication_code("a-key-of-sixteen-characters", input)) + '\n';
    }
    golden::check("digests.txt", text);
}

TEST_CASE("digests of fixed requests stay the same, and their texts parse", "[golden]") {
    golden::check_text(
        "request-digests.txt",
        {{"GET with a body", digest_of({"GET", "shop.example", "/read/2f?a=b", "body"}).text()},
         {"POST with a long body", digest_of({"POST", "shop.example", "/write", long_text()}).text()},
         {"nothing", digest_of({}).text()}},
        [](const std::string& text) {
            const auto digest = parse_request_digest(text);
            return digest ? digest->text() : "not read";
        });
}

TEST_CASE("rendezvous scores and orders of a fixed set stay the same", "[golden]") {
    std::string text;
    for (const std::string key : kKeys) {
        text += "key '" + key + "'\n";
        for (const auto index : routing::rendezvous_order(kMembers, key)) {
            text += kMembers[index] + ' ' + std::to_string(routing::rendezvous_score(kMembers[index], key)) +
                    '\n';
        }
    }
    golden::check("rendezvous.txt", text);
}

TEST_CASE("the holders of fixed claim keys stay the same", "[golden]") {
    std::vector<claims::Holder> holders;
    for (std::size_t index = 0; index < kMembers.size(); ++index) {
        holders.push_back({kMembers[index], index + 1, "zone-" + std::to_string(index % 3)});
    }
    std::string text;
    for (const std::string key : kKeys) {
        text += "key '" + key + "'\n";
        for (const auto& holder : claims::holders_of_key(holders, key)) {
            text += holder.id + ' ' + std::to_string(holder.boot_id) + ' ' + holder.zone + '\n';
        }
    }
    golden::check("claim-holders.txt", text);
}

#include "daemon/peer_messages.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "protocol/message_digest.hpp"

using namespace anisehold;
using namespace anisehold::daemon;

namespace {

constexpr const char* kKey = "a-key-of-sixteen-characters";

membership::GossipMessage sample_gossip(std::size_t updates) {
    membership::MemberRecord record;
    record.info = {"daemon-with-a-long-name-0123456789",
                   "zone-of-some-length",
                   7,
                   {"127.0.0.1", 1},
                   {"127.0.0.1", 2},
                   {"127.0.0.1", 3}};
    membership::GossipMessage message;
    message.sender = record;
    message.about_receiver.push_back(record);
    message.updates.assign(updates, record);
    message.revisions = {5, 6};
    return message;
}

}  // namespace

TEST_CASE("a gossip message round-trips and fits into a datagram") {
    const auto bytes = encode(sample_gossip(membership::kMaxUpdates), kKey);
    CHECK(bytes.size() <= 1'400);
    const auto decoded = decode_gossip(bytes, kKey);
    REQUIRE(decoded);
    CHECK(decoded->updates.size() == membership::kMaxUpdates);
    CHECK(decoded->sender == sample_gossip(0).sender);
    CHECK(decoded->revisions[1] == 6);
}

TEST_CASE("a message of one kind is not decoded as another kind") {
    const auto bytes = encode(PeerRequest(DocumentRequest{DocumentKind::kTable}), kKey);
    CHECK(decode_request(bytes, kKey));
    CHECK_FALSE(decode_reply(bytes, kKey));
    CHECK_FALSE(decode_gossip(bytes, kKey));
    CHECK_FALSE(decode_request(bytes, "another-key-of-16-chars"));
}

TEST_CASE("malformed content with a valid authentication code is rejected") {
    std::mt19937 random(1);
    const auto valid = encode(sample_gossip(2), kKey).substr(kMacBytes);
    for (int round = 0; round < 2'000; ++round) {
        std::string payload = valid.substr(0, random() % valid.size());
        if (!payload.empty()) {
            payload[random() % payload.size()] = static_cast<char>(random());
        }
        const std::string material = "gossip-1:" + payload;
        const auto bytes = message_authentication_code(kKey, material).append(payload);
        CHECK_FALSE(decode_gossip(bytes, kKey));
    }
}

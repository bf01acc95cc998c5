#include <catch2/catch.hpp>

#include "daemon/peer_messages.hpp"
#include "wire_samples.hpp"

using namespace anisehold;
using namespace anisehold::daemon;

namespace {

constexpr const char* kKey = "a-key-of-sixteen-characters";

membership::MemberRecord member(std::uint64_t number, membership::MemberState state) {
    const auto text = std::to_string(number);
    const auto port = static_cast<std::uint16_t>(7'000 + number);
    return {{"daemon-" + text,
             "zone-" + text,
             0x0102030405060700 + number,
             {"10.1.0." + text, port},
             {"10.2.0." + text, static_cast<std::uint16_t>(port + 100)},
             {"10.3.0." + text, static_cast<std::uint16_t>(port + 200)}},
            0x1112131415161700 + number,
            state};
}

std::vector<membership::MemberRecord> members_in_every_state() {
    using membership::MemberState;
    return {member(1, MemberState::kAlive), member(2, MemberState::kLeaving),
            member(3, MemberState::kSuspect), member(4, MemberState::kDead), member(5, MemberState::kLeft)};
}

membership::GossipMessage full_gossip(membership::GossipType type) {
    membership::GossipMessage message;
    message.type = type;
    message.sequence = 0x2122232425262728;
    message.sender = member(6, membership::MemberState::kLeaving);
    message.about_receiver = {member(7, membership::MemberState::kSuspect)};
    message.target = {member(8, membership::MemberState::kDead)};
    message.updates = {member(9, membership::MemberState::kLeft),
                       member(10, membership::MemberState::kAlive)};
    message.revisions = {0x3132333435363738, 0x4142434445464748};
    return message;
}

claims::ClaimRequest full_claim() {
    return {0x0102030405060708, "claim-key", 0x1112131415161718,
            0x2122232425262728, "daemon-3",  0x3132333435363738};
}

claims::ClaimReply full_claim_reply(claims::ClaimVerdict verdict, claims::ClaimState state) {
    return {verdict, 0x0102030405060708, state, 0x1112131415161718, "daemon-4", 0x2122232425262728};
}

template <typename Message>
golden::Sample sample(const std::string& name, const Message& message) {
    return {name, encode(message, kKey)};
}

std::string request_again(const std::string& bytes) {
    const auto message = decode_request(bytes, kKey);
    return message ? encode(*message, kKey) : "not decoded";
}

std::string reply_again(const std::string& bytes) {
    const auto message = decode_reply(bytes, kKey);
    return message ? encode(*message, kKey) : "not decoded";
}

}  // namespace

TEST_CASE("gossip messages keep their bytes", "[golden]") {
    using membership::GossipType;
    golden::check_dump("gossip.txt",
                       {sample("ping, every field set", full_gossip(GossipType::kPing)),
                        sample("ack, every field set", full_gossip(GossipType::kAck)),
                        sample("ping request, every field set", full_gossip(GossipType::kPingRequest)),
                        sample("announcement, every field set", full_gossip(GossipType::kAnnounce)),
                        sample("defaults", membership::GossipMessage{})},
                       [](const std::string& bytes) {
                           const auto message = decode_gossip(bytes, kKey);
                           return message ? encode(*message, kKey) : "not decoded";
                       });
}

TEST_CASE("the fields of a previously written gossip message are decoded", "[golden]") {
    const auto samples = golden::dumped_in("gossip.txt");
    REQUIRE(samples.size() == 5);
    const auto message = decode_gossip(samples[2].bytes, kKey);
    REQUIRE(message);
    const auto expected = full_gossip(membership::GossipType::kPingRequest);
    CHECK(message->type == expected.type);
    CHECK(message->sequence == expected.sequence);
    CHECK(message->sender == expected.sender);
    CHECK(message->about_receiver == expected.about_receiver);
    CHECK(message->target == expected.target);
    CHECK(message->updates == expected.updates);
    CHECK(message->revisions == expected.revisions);
}

TEST_CASE("requests between daemons keep their bytes", "[golden]") {
    using claims::ClaimEnd;
    std::vector<golden::Sample> samples;
    const auto add = [&](const std::string& name, const PeerRequest& request) {
        samples.push_back(sample(name, request));
    };
    add("members, every field set", MembersRequest{members_in_every_state()});
    add("members, defaults", MembersRequest{});
    add("document, table", DocumentRequest{DocumentKind::kTable});
    add("document, holder view", DocumentRequest{DocumentKind::kHolderView});
    add("claim, every field set", full_claim());
    add("claim, defaults", claims::ClaimRequest{});
    add("claim update, completed",
        claims::ClaimUpdate{"claim-key", 0x0102030405060708, ClaimEnd::kCompleted});
    add("claim update, unknown", claims::ClaimUpdate{"claim-key", 0x0102030405060708, ClaimEnd::kUnknown});
    add("claim update, released", claims::ClaimUpdate{"claim-key", 0x0102030405060708, ClaimEnd::kReleased});
    add("claim update, defaults", claims::ClaimUpdate{});
    add("claim sync, every field set",
        claims::ClaimSyncRequest{0x0102030405060708, 0x1112131415161718, "daemon-5"});
    add("claim sync, defaults", claims::ClaimSyncRequest{});
    add("claim status, every field set", claims::ClaimStatusRequest{0x0102030405060708});
    add("claim status, defaults", claims::ClaimStatusRequest{});
    add("draw, every field set", retry::DrawRequest{"fedcba9876543210", 0x0102030405060708, false});
    add("draw, defaults", retry::DrawRequest{});
    add("settle, every field set",
        retry::SettleRequest{"fedcba9876543210", 0x0102030405060708, 0x1112131415161718, 6, "stock", true,
                             0x2122232425262728, true});
    add("settle, not run", retry::SettleRequest{"", 0, 0, 0, "", true, 0, false});
    add("settle, defaults", retry::SettleRequest{});
    add("answer, every field set", AnswerRequest{"answer-key"});
    add("answer, defaults", AnswerRequest{});
    add("revisions", RevisionsRequest{});
    golden::check_dump("peer-requests.txt", samples, request_again);
}

TEST_CASE("replies between daemons keep their bytes", "[golden]") {
    using claims::ClaimState;
    using claims::ClaimVerdict;
    using retry::DrawVerdict;
    std::vector<golden::Sample> samples;
    const auto add = [&](const std::string& name, const PeerReply& reply) {
        samples.push_back(sample(name, reply));
    };
    add("acknowledged", Acknowledged{});
    add("members, every field set", MembersReply{members_in_every_state()});
    add("members, defaults", MembersReply{});
    add("document, table", Document{DocumentKind::kTable, 0x0102030405060708, "a table"});
    add("document, holder view", Document{DocumentKind::kHolderView, 0x1112131415161718, "a view"});
    add("document, defaults", Document{});
    add("claim, granted", full_claim_reply(ClaimVerdict::kGranted, ClaimState::kInProgress));
    add("claim, denied, completed", full_claim_reply(ClaimVerdict::kDenied, ClaimState::kCompleted));
    add("claim, denied, unknown", full_claim_reply(ClaimVerdict::kDenied, ClaimState::kUnknown));
    add("claim, defaults", claims::ClaimReply{});
    add("claim sync, every field set",
        claims::ClaimSyncReply{
            true,
            {{full_claim(), ClaimState::kCompleted, 0x4142434445464748}, {{}, ClaimState::kUnknown, 9}}});
    add("claim sync, defaults", claims::ClaimSyncReply{});
    add("claim status, serving", claims::ClaimStatusReply{true});
    add("claim status, defaults", claims::ClaimStatusReply{});
    const std::vector<std::pair<const char*, DrawVerdict>> verdicts{
        {"first", DrawVerdict::kFirst},         {"repeat", DrawVerdict::kRetry},
        {"exhausted", DrawVerdict::kExhausted}, {"not repeated", DrawVerdict::kNotRetryable},
        {"ended", DrawVerdict::kEnded},         {"unknown call", DrawVerdict::kUnknownCall}};
    for (const auto& [name, verdict] : verdicts) {
        add(std::string("draw, ") + name,
            retry::DrawReply{verdict, 7, 0x0102030405060708, 0x1112131415161718, 0x2122232425262728});
    }
    add("draw, defaults", retry::DrawReply{});
    add("answer, every field set",
        AnswerReply{{{201, {{"Content-Type", "text/plain"}, {"X-Second", "two"}}, "the body"}}});
    add("answer, defaults within", AnswerReply{{StoredAnswer{}}});
    add("answer, none", AnswerReply{});
    add("revisions, every field set", RevisionsReply{{0x0102030405060708, 0x1112131415161718}});
    add("revisions, defaults", RevisionsReply{});
    golden::check_dump("peer-replies.txt", samples, reply_again);
}

TEST_CASE("the fields of previously written requests and replies are decoded", "[golden]") {
    const auto requests = golden::dumped_in("peer-requests.txt");
    REQUIRE(requests.size() == 22);
    const auto settle_bytes = decode_request(requests[16].bytes, kKey);
    REQUIRE(settle_bytes);
    const auto* settle = boost::get<retry::SettleRequest>(&*settle_bytes);
    REQUIRE(settle != nullptr);
    CHECK(settle->call_id == "fedcba9876543210");
    CHECK(settle->identity == 0x0102030405060708);
    CHECK(settle->loan_id == 0x1112131415161718);
    CHECK(settle->used == 6);
    CHECK(settle->overloaded_service == "stock");
    CHECK(settle->not_run);
    CHECK(settle->duration_us == 0x2122232425262728);
    CHECK(settle->discard_attempt);
    const auto replies = golden::dumped_in("peer-replies.txt");
    REQUIRE(replies.size() == 26);
    const auto claim_bytes = decode_reply(replies[7].bytes, kKey);
    REQUIRE(claim_bytes);
    const auto* claim = boost::get<claims::ClaimReply>(&*claim_bytes);
    REQUIRE(claim != nullptr);
    CHECK(claim->verdict == claims::ClaimVerdict::kDenied);
    CHECK(claim->epoch == 0x0102030405060708);
    CHECK(claim->state == claims::ClaimState::kCompleted);
    CHECK(claim->fingerprint == 0x1112131415161718);
    CHECK(claim->coordinator == "daemon-4");
    CHECK(claim->coordinator_boot == 0x2122232425262728);
}

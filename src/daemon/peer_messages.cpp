#include "daemon/peer_messages.hpp"

#include "protocol/message_archive.hpp"
#include "protocol/message_digest.hpp"

namespace anisehold::daemon {
namespace {

// Prefixes of the authenticated data. They prevent a message of another kind or protocol version from being
// accepted.
constexpr std::string_view kGossipPurpose = "gossip-1:";
constexpr std::string_view kRequestPurpose = "request-1:";
constexpr std::string_view kReplyPurpose = "reply-1:";

std::string code_for(std::string_view purpose, std::string_view payload, std::string_view key) {
    std::string material(purpose);
    material += payload;
    return message_authentication_code(key, material);
}

template <typename Message>
std::string encode_as(std::string_view purpose, const Message& message, std::string_view key) {
    const std::string payload = archive_bytes(message);
    return code_for(purpose, payload, key) + payload;
}

template <typename Message>
std::optional<Message> decode_as(std::string_view purpose, std::string_view bytes, std::string_view key) {
    if (bytes.size() < kMacBytes || bytes.size() > kMaxFrameBytes) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(kMacBytes);
    if (!equal_in_constant_time(bytes.substr(0, kMacBytes), code_for(purpose, payload, key))) {
        return std::nullopt;
    }
    return unarchive_bytes<Message>(payload);
}

}  // namespace

std::string encode(const membership::GossipMessage& message, std::string_view key) {
    return encode_as(kGossipPurpose, message, key);
}

std::string encode(const PeerRequest& message, std::string_view key) {
    return encode_as(kRequestPurpose, message, key);
}

std::string encode(const PeerReply& message, std::string_view key) {
    return encode_as(kReplyPurpose, message, key);
}

std::optional<membership::GossipMessage> decode_gossip(std::string_view bytes, std::string_view key) {
    return decode_as<membership::GossipMessage>(kGossipPurpose, bytes, key);
}

std::optional<PeerRequest> decode_request(std::string_view bytes, std::string_view key) {
    return decode_as<PeerRequest>(kRequestPurpose, bytes, key);
}

std::optional<PeerReply> decode_reply(std::string_view bytes, std::string_view key) {
    return decode_as<PeerReply>(kReplyPurpose, bytes, key);
}

}  // namespace anisehold::daemon

#include "protocol/peer_messages.hpp"

#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/stream_buffer.hpp>
#include <boost/serialization/array.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/variant.hpp>
#include <boost/serialization/vector.hpp>
#include <sstream>

#include "protocol/message_digest.hpp"

namespace anisehold {
namespace {

constexpr unsigned kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

// The purposes keep a message of one kind from being accepted as another kind.
constexpr std::string_view kGossipPurpose = "gossip:";
constexpr std::string_view kRequestPurpose = "request:";
constexpr std::string_view kReplyPurpose = "reply:";

std::string code_for(std::string_view purpose, std::string_view payload, std::string_view key) {
    std::string material(purpose);
    material += payload;
    return message_authentication_code(key, material);
}

template <typename Message>
std::string encode_as(std::string_view purpose, const Message& message, std::string_view key) {
    std::ostringstream stream;
    {
        boost::archive::binary_oarchive archive(stream, kArchiveFlags);
        archive << message;
    }
    const std::string payload = std::move(stream).str();
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
    try {
        boost::iostreams::stream_buffer<boost::iostreams::array_source> buffer(payload.data(),
                                                                               payload.size());
        boost::archive::binary_iarchive archive(buffer, kArchiveFlags);
        Message message;
        archive >> message;
        return message;
    } catch (const std::exception&) {
        // Archive, length and allocation errors all mean the same: the content isn't a message.
        return std::nullopt;
    }
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

}  // namespace anisehold

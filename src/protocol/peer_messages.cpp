#include "protocol/peer_messages.hpp"

#include <boost/archive/binary_iarchive_impl.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/archive/impl/archive_serializer_map.ipp>
#include <boost/archive/impl/basic_binary_iarchive.ipp>
#include <boost/archive/impl/basic_binary_iprimitive.ipp>
#include <boost/serialization/array.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/variant.hpp>
#include <boost/serialization/vector.hpp>
#include <sstream>
#include <streambuf>

#include "protocol/message_digest.hpp"

namespace anisehold {
namespace {

constexpr unsigned kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

// The purposes keep a message of one kind, or of another version of the protocol, from being accepted.
constexpr std::string_view kGossipPurpose = "gossip-1:";
constexpr std::string_view kRequestPurpose = "request-1:";
constexpr std::string_view kReplyPurpose = "reply-1:";

/// Reads from bytes that stay where they are.
class BytesBuffer final : public std::streambuf {
  public:
    explicit BytesBuffer(std::string_view bytes) {
        // The archive only reads; the interface of streambuf asks for mutable characters.
        auto* begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// A binary archive that refuses lengths greater than what is left of the message, so that no malformed one
/// makes it allocate more.
class BoundedArchive final
    : public boost::archive::binary_iarchive_impl<BoundedArchive, char, std::char_traits<char>> {
    using Base = boost::archive::binary_iarchive_impl<BoundedArchive, char, std::char_traits<char>>;
    friend class boost::archive::detail::interface_iarchive<BoundedArchive>;
    friend class boost::archive::load_access;

  public:
    explicit BoundedArchive(BytesBuffer& buffer) : Base(buffer, kArchiveFlags), buffer_(buffer) {}

    template <typename Value>
    void load_override(Value& value) {
        Base::load_override(value);
    }
    void load_override(boost::serialization::collection_size_type& size) {
        Base::load_override(size);
        check_length(size);
    }
    void load_override(std::string& text) {
        std::size_t length = 0;
        load_binary(&length, sizeof(length));
        check_length(length);
        text.resize(length);
        load_binary(text.data(), length);
    }

  private:
    void check_length(std::size_t length) const {
        if (length > buffer_.remaining()) {
            throw boost::archive::archive_exception(boost::archive::archive_exception::input_stream_error);
        }
    }

    BytesBuffer& buffer_;
};

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
        BytesBuffer buffer(payload);
        BoundedArchive archive(buffer);
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

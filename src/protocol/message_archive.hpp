/// @file
/// Binary encoding of messages between anisehold processes with Boost.Serialization, safe against malformed
/// input. Each message owns its layout (`serialize_all`). Include only where messages are encoded: the
/// archives are expensive to compile.
#pragma once

#include <boost/archive/binary_iarchive_impl.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/archive/impl/archive_serializer_map.ipp>
#include <boost/archive/impl/basic_binary_iarchive.ipp>
#include <boost/archive/impl/basic_binary_iprimitive.ipp>
#include <boost/serialization/array.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/variant.hpp>
#include <boost/serialization/vector.hpp>
#include <optional>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

namespace anisehold {

inline constexpr unsigned kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

/// Reads from a byte sequence without copying it.
class BytesBuffer final : public std::streambuf {
  public:
    explicit BytesBuffer(std::string_view bytes) {
        // The archive only reads; the interface of streambuf asks for mutable characters.
        auto* begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// A binary archive that rejects lengths greater than the rest of the message, so that a malformed message
/// cannot cause a larger allocation.
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

/// Encodes a message.
template <typename Message>
std::string archive_bytes(const Message& message) {
    std::ostringstream stream;
    {
        boost::archive::binary_oarchive archive(stream, kArchiveFlags);
        archive << message;
    }
    return std::move(stream).str();
}

/// Decodes the message at the start of the bytes and removes it from them; empty if it is malformed.
template <typename Message>
std::optional<Message> unarchive_prefix(std::string_view& bytes) {
    try {
        BytesBuffer buffer(bytes);
        BoundedArchive archive(buffer);
        Message message;
        archive >> message;
        bytes.remove_prefix(bytes.size() - buffer.remaining());
        return message;
    } catch (const std::exception&) {
        // Archive, length and allocation errors all mean that the content is not a valid message.
        return std::nullopt;
    }
}

/// Decodes a message; empty if the bytes are malformed.
template <typename Message>
std::optional<Message> unarchive_bytes(std::string_view bytes) {
    return unarchive_prefix<Message>(bytes);
}

}  // namespace anisehold

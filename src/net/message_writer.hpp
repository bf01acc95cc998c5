/// @file
/// Writes messages over a `TimedStream`: the header as the text of its fields, the body at once or in parts.
/// Included only inside net/.
#pragma once

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <charconv>
#include <string>

namespace anisehold::net {

/// Writes all bytes of a sequence of buffers.
template <typename Buffers>
boost::system::error_code write_buffers(TimedStream& stream, const Buffers& buffers) {
    beast::buffers_suffix<Buffers> rest(buffers);
    boost::system::error_code error;
    while (!error && beast::buffer_bytes(rest) > 0) {
        error = stream.complete_write([&](auto& ec) { rest.consume(stream.socket().write_some(rest, ec)); });
    }
    return error;
}

/// Size line of a chunk.
inline std::string chunk_header(std::size_t size) {
    std::array<char, 2 * sizeof(size)> digits;
    constexpr int hexadecimal = 16;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal).ptr;
    return std::string(digits.data(), end) + "\r\n";
}

/// Header field that states the length of a body, or that it is sent in chunks.
inline std::string framing_field(const Body& body, bool chunked) {
    return chunked ? "Transfer-Encoding: chunked\r\n"
                   : "Content-Length: " + std::to_string(body.length.value_or(body.prefix.size())) + "\r\n";
}

/// Writes one part of a body, after the bytes of `head`. An empty part ends a chunked body.
inline boost::system::error_code write_body_part(TimedStream& stream, std::string head, const char* data,
                                                 std::size_t size, bool chunked) {
    std::string_view tail;
    if (chunked) {
        head += chunk_header(size);
        tail = "\r\n";
    }
    const std::array<boost::asio::const_buffer, 3> buffers{boost::asio::buffer(head),
                                                           boost::asio::buffer(data, size),
                                                           boost::asio::buffer(tail.data(), tail.size())};
    return write_buffers(stream, buffers);
}

/// Limits of writing a message.
struct WriteLimits {
    Duration max_pause = Duration::max();  ///< Maximum wait for the receiver.
    TimePoint end = TimePoint::max();      ///< End of writing, even if the receiver never pauses.

    TimePoint next_deadline(TimePoint now) const { return max_pause < end - now ? now + max_pause : end; }
};

/// Writes a message whose start line and fields are `head`. On an error of the body's source, sets
/// `source_error` and leaves the message incomplete.
inline void write_message(TimedStream& stream, std::string head, Body& body, const WriteLimits& limits,
                          boost::system::error_code& error, std::error_code& source_error) {
    stream.writes_expire_at(limits.next_deadline(TimePoint::clock::now()));
    const bool chunked = body.rest && !body.length;
    head += framing_field(body, chunked) + "\r\n";
    // An empty part would end a chunked body.
    const bool has_chunk = chunked && !body.prefix.empty();
    error = write_body_part(stream, std::move(head), body.prefix.data(), body.prefix.size(), has_chunk);
    std::array<char, kStreamChunkBytes> part;
    bool more = !body.whole();
    while (more && !error) {
        const auto count = body.rest->read(part.data(), part.size(), source_error);
        if (source_error) {
            return;
        }
        more = count > 0;
        stream.writes_expire_at(limits.next_deadline(TimePoint::clock::now()));
        error = write_body_part(stream, {}, part.data(), count, chunked);
        // Both sockets may stay ready for a long time, so other fibers get a turn.
        boost::this_fiber::yield();
    }
}

}  // namespace anisehold::net

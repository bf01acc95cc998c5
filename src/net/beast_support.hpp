/// @file
/// Code shared by the Beast-based server and client: selection of the header fields that are forwarded, and
/// reading of messages over a `TimedStream`. Included only inside net/.
#pragma once

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <string>
#include <vector>

#include "net/http_types.hpp"
#include "net/message_parser.hpp"
#include "net/timed_stream.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// HTTP/1.1 in Beast's version numbers.
inline constexpr unsigned kHttp11 = 11;

/// Size of one chunk of a streamed body.
inline constexpr std::size_t kStreamChunkBytes = 16 * 1024;

inline beast::string_view to_beast(std::string_view text) {
    return {text.data(), text.size()};
}

/// Whether a header field applies to a single connection and is never forwarded.
inline bool is_hop_by_hop(beast::string_view name) {
    static constexpr std::array<const char*, 10> names{
        "connection", "keep-alive",     "proxy-connection",   "transfer-encoding",   "te",
        "upgrade",    "content-length", "proxy-authenticate", "proxy-authorization", "expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* known) { return beast::iequals(known, name); });
}

/// Returns the sorted names of the fields that the `Connection` fields declare as those of the connection.
inline std::vector<beast::string_view> nominated_names(const HeaderFields& fields) {
    std::vector<beast::string_view> names;
    for (const auto& field : fields) {
        if (!beast::iequals(to_beast(field.name), "connection")) {
            continue;
        }
        for (const auto& token : http::token_list(to_beast(field.value))) {
            names.push_back(token);
        }
    }
    std::sort(names.begin(), names.end(), beast::iless());
    names.erase(std::unique(names.begin(), names.end(), beast::iequal()), names.end());
    return names;
}

/// Copies the end-to-end header fields.
inline HeaderFields copy_end_to_end_fields(const HeaderFields& source) {
    // Searched once for each field: a header may have thousands of fields, and name as many.
    const auto nominated = nominated_names(source);
    HeaderFields fields;
    for (const auto& field : source) {
        const auto name = to_beast(field.name);
        if (!is_hop_by_hop(name) &&
            !std::binary_search(nominated.begin(), nominated.end(), name, beast::iless())) {
            fields.add(field.name, field.value);
        }
    }
    return fields;
}

/// Size of the read buffer: header and body of most messages arrive with one system call.
inline constexpr std::size_t kReadBytes = 8 * 1024;

/// Limits a read buffer so that it holds a header of `header_bytes`, and whatever follows it in the same
/// read. The buffer also holds a chunk's size with its extensions, and the trailers, until they are complete;
/// the parser limits only the header.
inline void limit_buffer(beast::flat_buffer& buffer, std::size_t header_bytes) {
    buffer.max_size(std::max(buffer.size(), header_bytes + kReadBytes));
}

/// Reads a message header. `has_room` is asked before each read whether the memory taken so far may be kept;
/// if not, the error is `not_enough_memory`.
template <typename Parser, typename HasRoom>
boost::system::error_code read_header(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser,
                                      HasRoom has_room) {
    return stream.complete_read([&](auto& ec) {
        if (!has_room()) {
            ec = make_error_code(boost::system::errc::not_enough_memory);
            return;
        }
        buffer.reserve(kReadBytes);
        http::read_header(stream.socket(), buffer, parser, ec);
    });
}
template <typename Parser>
boost::system::error_code read_header(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser) {
    return read_header(stream, buffer, parser, [] { return true; });
}

/// Parses bytes that have been read already until the parser needs more of them, or its body buffer is full.
/// A sender may split a body into chunks of one byte: these would otherwise be passed on one by one. Returns
/// an error of the message.
template <typename Parser>
boost::system::error_code parse_buffered(beast::flat_buffer& buffer, Parser& parser) {
    boost::system::error_code error;
    while (!error && !parser.is_done() && buffer.size() > 0 && parser.body_space() > 0) {
        buffer.consume(parser.put(buffer.data(), error));
    }
    const bool is_incomplete = error == http::error::need_more || error == http::error::need_buffer;
    return is_incomplete ? boost::system::error_code() : error;
}

/// Reads body bytes into `data`. Returns the count; 0 without an error at the end of the message. A body that
/// has bytes available at all times is checked against the deadline of the stream as well.
template <typename Parser>
std::size_t read_body_bytes(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser, char* data,
                            std::size_t size, boost::system::error_code& error) {
    std::size_t filled = 0;
    while (filled == 0 && !parser.is_done()) {
        parser.set_body_buffer(data, size);
        error = stream.complete_read([&](auto& ec) { http::read_some(stream.socket(), buffer, parser, ec); });
        if (!error) {
            error = parse_buffered(buffer, parser);
        }
        filled = size - parser.body_space();
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error) {
            return filled;
        }
        if (!parser.is_done() && stream.reads_expired()) {
            error = beast::error::timeout;
            return filled;
        }
        if (filled == 0) {
            // Chunk extensions and trailers may arrive without a pause, so other fibers get a turn.
            boost::this_fiber::yield();
        }
    }
    return filled;
}

/// Appends body bytes to `prefix` up to a size of `limit`; stops early at the end of the message.
template <typename Parser>
void read_body_prefix(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser, std::string& prefix,
                      std::size_t limit, boost::system::error_code& error) {
    std::array<char, kStreamChunkBytes> chunk;
    while (!parser.is_done() && prefix.size() < limit && !error) {
        const auto wanted = std::min(chunk.size(), limit - prefix.size());
        const auto count = read_body_bytes(stream, buffer, parser, chunk.data(), wanted, error);
        prefix.append(chunk.data(), count);
    }
}

}  // namespace anisehold::net

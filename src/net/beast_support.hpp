/// @file
/// Code shared by the Beast-based server and client: selection of the header fields that are forwarded, and
/// reading and writing of messages over a `TimedStream`. Included only inside net/.
#pragma once

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <vector>

#include "net/http_types.hpp"
#include "net/timed_stream.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// HTTP/1.1 in Beast's version numbers.
inline constexpr unsigned kHttp11 = 11;

/// Size of one chunk of a streamed body.
inline constexpr std::size_t kStreamChunkBytes = 16 * 1024;

/// Whether a header field applies to a single connection and is never forwarded.
inline bool is_hop_by_hop(beast::string_view name) {
    static constexpr std::array<const char*, 10> names{
        "connection", "keep-alive",     "proxy-connection",   "transfer-encoding",   "te",
        "upgrade",    "content-length", "proxy-authenticate", "proxy-authorization", "expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](const char* known) { return beast::iequals(known, name); });
}

/// Returns the sorted names of the fields that a `Connection` field declares as those of the connection.
inline std::vector<beast::string_view> nominated_names(beast::string_view connection) {
    std::vector<beast::string_view> names;
    for (const auto& token : http::token_list(connection)) {
        names.push_back(token);
    }
    std::sort(names.begin(), names.end(), beast::iless());
    names.erase(std::unique(names.begin(), names.end(), beast::iequal()), names.end());
    return names;
}

/// Copies the end-to-end header fields from Beast's container.
template <typename Fields>
HeaderFields copy_end_to_end_fields(const Fields& source) {
    HeaderFields fields;
    // Searched once for each field: a header may have thousands of fields, and name as many.
    const auto nominated = nominated_names(source[http::field::connection]);
    const auto is_nominated = [&](beast::string_view name) {
        return std::binary_search(nominated.begin(), nominated.end(), name, beast::iless());
    };
    for (const auto& field : source) {
        if (!is_hop_by_hop(field.name_string()) && !is_nominated(field.name_string())) {
            fields.add(std::string(field.name_string()), std::string(field.value()));
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

/// Reads a message header.
template <typename Parser>
boost::system::error_code read_header(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser) {
    buffer.reserve(kReadBytes);
    return stream.complete_read([&](auto& ec) { http::read_header(stream.socket(), buffer, parser, ec); });
}

/// Reads body bytes into `data` through a parser over `buffer_body`. Returns the count; 0 without an error at
/// the end of the message. A body that has bytes available at all times is checked against the deadline of
/// the stream as well.
template <typename Parser>
std::size_t read_body_bytes(TimedStream& stream, beast::flat_buffer& buffer, Parser& parser, char* data,
                            std::size_t size, boost::system::error_code& error) {
    std::size_t filled = 0;
    while (filled == 0 && !parser.is_done()) {
        parser.get().body().data = data;
        parser.get().body().size = size;
        const auto read_error =
            stream.complete_read([&](auto& ec) { http::read_some(stream.socket(), buffer, parser, ec); });
        filled = size - parser.get().body().size;
        const bool failed = read_error && read_error != http::error::need_buffer;
        if (failed) {
            error = read_error;
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

/// Writes `message` with `body`. For streamed bodies `pause` bounds each wait; zero keeps the current
/// deadline of the stream. On an error of the body's source, sets `source_error` and leaves the message
/// incomplete.
template <bool IsRequest>
void write_message(TimedStream& stream, http::message<IsRequest, http::buffer_body>& message, Body& body,
                   Duration pause, boost::system::error_code& error, std::error_code& source_error) {
    if (body.rest && !body.length) {
        message.chunked(true);
    } else {
        message.content_length(body.length.value_or(body.prefix.size()));
    }
    // An empty buffer would be sent as the chunk that terminates the body.
    message.body().data = body.prefix.empty() ? nullptr : body.prefix.data();
    message.body().size = body.prefix.size();
    message.body().more = !body.whole();
    http::serializer<IsRequest, http::buffer_body> serializer(message);
    const auto write_rest = [&] {
        error = stream.complete_write([&](auto& ec) { http::write(stream.socket(), serializer, ec); });
        if (error == http::error::need_buffer) {
            error = {};
        }
    };
    write_rest();
    std::array<char, kStreamChunkBytes> chunk;
    bool more = !body.whole();
    while (more && !error) {
        const auto count = body.rest->read(chunk.data(), chunk.size(), source_error);
        if (source_error) {
            return;
        }
        more = count > 0;
        message.body().data = more ? chunk.data() : nullptr;
        message.body().size = count;
        message.body().more = more;
        if (pause != Duration::zero()) {
            stream.writes_expire_after(pause);
        }
        write_rest();
        // Both sockets may stay ready for a long time, so other fibers get a turn.
        boost::this_fiber::yield();
    }
}

}  // namespace anisehold::net

#include "net/beast_support.hpp"
// Beast comes first, see there.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/http_types.hpp"
#include "net/message_parser.hpp"

using namespace anisehold::net;
namespace http = boost::beast::http;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

Fields list(const HeaderFields& fields) {
    Fields found;
    for (const auto& field : fields) {
        found.emplace_back(field.name, field.value);
    }
    return found;
}

/// Parses a header that arrives in pieces of `piece` bytes; returns the parser's error.
boost::system::error_code parse(MessageParser<true>& parser, std::string header, std::size_t piece) {
    boost::system::error_code error = http::error::need_more;
    std::string pending;
    while (error == http::error::need_more && !header.empty()) {
        const auto count = std::min(piece, header.size());
        pending += header.substr(0, count);
        header.erase(0, count);
        pending.erase(0, parser.put(boost::asio::buffer(pending), error));
    }
    return error;
}

}  // namespace

TEST_CASE("header fields keep their order, and are found whatever their case") {
    HeaderFields fields;
    fields.add("Host", "shop.example");
    fields.add("X-A", "");
    fields.add("x-b", "a: b");
    fields.add("X-A", "2");
    CHECK(list(fields) == Fields{{"Host", "shop.example"}, {"X-A", ""}, {"x-b", "a: b"}, {"X-A", "2"}});
    CHECK(fields.find("X-B") == "a: b");
    CHECK(fields.find("x-a") == "");
    CHECK_FALSE(fields.find("X"));

    fields.set("x-A", std::string("3"));
    CHECK(list(fields) == Fields{{"Host", "shop.example"}, {"x-b", "a: b"}, {"x-A", "3"}});
    fields.set("Copy", *fields.find("Host"));
    fields.set("Host", *fields.find("Host"));
    CHECK(fields.find("Copy") == "shop.example");
    CHECK(fields.find("Host") == "shop.example");
    fields.remove("x-b");
    fields.remove("absent");
    CHECK(list(fields) == Fields{{"x-A", "3"}, {"Copy", "shop.example"}, {"Host", "shop.example"}});
}

TEST_CASE("a header field's value can't add another field") {
    HeaderFields fields;
    fields.add("A", "1\r\nB: 2");
    CHECK(list(fields) == Fields{{"A", "1  B: 2"}});
    CHECK(fields.lines() == "A: 1  B: 2\r\n");
}

TEST_CASE("no header fields") {
    const HeaderFields fields;
    CHECK(list(fields).empty());
    CHECK_FALSE(fields.find(""));
}

TEST_CASE("a header is the same in whatever pieces it arrives") {
    const std::string header =
        "PURGE /a?b HTTP/1.0\r\nHost: x\r\nX-Folded:  one\r\n two \r\nEmpty:\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t piece = 1; piece <= header.size(); ++piece) {
        CAPTURE(piece);
        MessageParser<true> parser;
        CHECK_FALSE(parse(parser, header, piece));
        CHECK(parser.method() == "PURGE");
        CHECK(parser.target() == "/a?b");
        CHECK(parser.version() == 10);
        CHECK(list(parser.fields()) ==
              Fields{{"Host", "x"}, {"X-Folded", "one two"}, {"Empty", ""}, {"Content-Length", "0"}});
    }
}

TEST_CASE("a header of many tiny fields takes a small multiple of its bytes") {
    std::string header = "GET / HTTP/1.1\r\n";
    for (int n = 0; n < 4'000; ++n) {
        header += "a:\r\n";
    }
    MessageParser<true> parser;
    parser.header_limit(static_cast<std::uint32_t>(2 * header.size()));
    REQUIRE_FALSE(parse(parser, header + "\r\n", header.size() + 2));
    CHECK(list(parser.fields()).size() == 4'000);
    CHECK(parser.fields().lines().capacity() < 4 * header.size());
}

TEST_CASE("chunks that have arrived are parsed together") {
    constexpr std::size_t num_chunks = 1'000;
    std::string message = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto header_size = message.size();
    for (std::size_t n = 0; n < num_chunks; ++n) {
        message += "1\r\nx\r\n";
    }
    beast::flat_buffer buffer;
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(message.size()), boost::asio::buffer(message)));
    MessageParser<true> parser;
    boost::system::error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    REQUIRE(buffer.size() == message.size() - header_size);

    std::string body(num_chunks / 2, ' ');
    parser.set_body_buffer(body.data(), body.size());
    CHECK_FALSE(parse_buffered(buffer, parser));
    CHECK(body == std::string(num_chunks / 2, 'x'));
    body.assign(num_chunks, ' ');
    parser.set_body_buffer(body.data(), body.size());
    CHECK_FALSE(parse_buffered(buffer, parser));
    CHECK(parser.body_space() == num_chunks / 2);
    CHECK_FALSE(parser.is_done());
}

TEST_CASE("trailers are checked, and are no header fields") {
    MessageParser<true> parser;
    std::string body(8, ' ');
    parser.eager(true);
    parser.set_body_buffer(body.data(), body.size());
    std::string message =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLate: 1\r\n\r\n";
    boost::system::error_code error;
    parser.put(boost::asio::buffer(message), error);
    CHECK_FALSE(error);
    CHECK(parser.is_done());
    CHECK(body.substr(0, body.size() - parser.body_space()) == "ok");
    CHECK_FALSE(parser.fields().find("Late"));
}

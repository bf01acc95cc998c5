/// @file
/// A parser for HTTP/1.1 messages that stores the header in the text of its fields, so that a header takes
/// about as much memory as it has bytes, however many fields it has. Included only inside net/.
#pragma once

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstring>
#include <string>

#include "net/http_types.hpp"

namespace anisehold::net {

/// Parses one request or response. Body bytes go to a buffer of the caller, who provides a new one when the
/// parser reports `http::error::need_buffer`. Trailers are checked and dropped.
template <bool IsRequest>
class MessageParser final : public boost::beast::http::basic_parser<IsRequest> {
  public:
    /// All fields of the header, including those of the connection.
    const HeaderFields& fields() const { return fields_; }
    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    unsigned status() const { return status_; }
    unsigned version() const { return version_; }

    void set_body_buffer(char* data, std::size_t size) {
        body_data_ = data;
        body_space_ = size;
    }
    /// Space left in the body buffer.
    std::size_t body_space() const { return body_space_; }

  private:
    using ErrorCode = boost::beast::error_code;
    using StringView = boost::beast::string_view;
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;

    static std::string_view to_std(StringView text) { return {text.data(), text.size()}; }

    void on_request_impl(Verb /*verb*/, StringView method, StringView target, int version,
                         ErrorCode& error) override {
        method_ = to_std(method);
        target_ = to_std(target);
        version_ = static_cast<unsigned>(version);
        error = {};
    }

    void on_response_impl(int status, StringView /*reason*/, int version, ErrorCode& error) override {
        status_ = static_cast<unsigned>(status);
        version_ = static_cast<unsigned>(version);
        error = {};
    }

    void on_field_impl(Field /*field*/, StringView name, StringView value, ErrorCode& error) override {
        if (!this->is_header_done()) {
            fields_.add(to_std(name), to_std(value));
        }
        error = {};
    }

    void on_header_impl(ErrorCode& error) override { error = {}; }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, ErrorCode& error) override {
        error = {};
    }

    std::size_t on_body_impl(StringView bytes, ErrorCode& error) override {
        const auto count = std::min(bytes.size(), body_space_);
        std::memcpy(body_data_, bytes.data(), count);
        body_data_ += count;
        body_space_ -= count;
        error = {};
        if (count < bytes.size()) {
            error = boost::beast::http::error::need_buffer;
        }
        return count;
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, StringView /*extensions*/, ErrorCode& error) override {
        error = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, StringView bytes, ErrorCode& error) override {
        return on_body_impl(bytes, error);
    }

    void on_finish_impl(ErrorCode& error) override { error = {}; }

    HeaderFields fields_;
    std::string method_;
    std::string target_;
    unsigned status_ = 0;
    unsigned version_ = 0;
    char* body_data_ = nullptr;
    std::size_t body_space_ = 0;
};

}  // namespace anisehold::net

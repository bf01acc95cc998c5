/// @file
/// The key-value store over the etcd v3 JSON gateway. Owns a connection pool for each store address; relies
/// on store/base64 for keys and values.
#pragma once

#include <memory>
#include <vector>

#include "net/http_client.hpp"
#include "protocol/time_types.hpp"
#include "store/key_value_store.hpp"

namespace anisehold::store {

/// Client of one of several store addresses; fails over to the next address when one fails. A write that may
/// have been received is not resent.
class EtcdStore final : public KeyValueStore {
  public:
    EtcdStore(boost::asio::io_context& io, const std::vector<Endpoint>& servers, milliseconds timeout_ms);

    std::optional<RangeResult> range(const std::string& first, const std::string& end,
                                     std::error_code& error) override;
    SwapResult compare_and_swap(const std::string& compared_key, std::uint64_t revision,
                                const std::vector<Put>& puts) override;
    std::error_code watch(const std::string& first, const std::string& end, std::uint64_t start_revision,
                          const std::function<bool(const KeyValue&)>& on_change) override;

  private:
    /// Sends a POST. Sets `maybe_received` if the store may have acted on the request despite an error. A
    /// `repeatable` request may be resent even then.
    std::optional<std::string> post(const std::string& path, const std::string& body, bool repeatable,
                                    bool& maybe_received, std::error_code& error);

    std::vector<std::unique_ptr<net::HttpClient>> clients_;
    std::size_t preferred_ = 0;
    milliseconds timeout_ms_;
};

}  // namespace anisehold::store

/// @file
/// Holds the configuration in force, which is only replaced by one with a higher version.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "routing/configuration.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Source of a configuration, for logs.
enum class ConfigurationSource { kStore, kPeer };

/// Result of offering a configuration.
enum class OfferOutcome {
    kTaken,
    kNotNewer,  ///< The configuration in force has the same version or a higher one.
    kRejected,  ///< The configuration can't be parsed.
};

/// Holds the configuration and its text, which peers may request.
class ConfigurationHolder {
  public:
    using Listener = std::function<void(const routing::Configuration&, ConfigurationSource)>;

    explicit ConfigurationHolder(SidecarContext& context) : context_(context) {}

    /// Applies the configuration in `text` if its version is higher than the current one.
    OfferOutcome offer(const std::string& text, ConfigurationSource source);
    /// Null until the first configuration has arrived.
    std::shared_ptr<const routing::Configuration> current() const { return current_; }
    std::uint64_t version() const { return current_ ? current_->version : 0; }
    const std::string& text() const { return text_; }
    void set_listener(Listener listener) { listener_ = std::move(listener); }

  private:
    SidecarContext& context_;
    std::shared_ptr<const routing::Configuration> current_;
    std::string text_;
    Listener listener_;
};

}  // namespace anisehold::sidecar

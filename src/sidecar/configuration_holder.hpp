/// @file
/// The configuration in force: only ever replaced by a higher version.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "routing/configuration.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Where a configuration came from, for logs.
enum class ConfigurationSource { kStore, kPeer };

/// What became of an offered configuration.
enum class OfferOutcome {
    kTaken,
    kNotNewer,  ///< The one in force is as new, or newer.
    kRejected,  ///< It can't be read.
};

/// Holds the configuration and its text, which peers may ask for.
class ConfigurationHolder {
  public:
    using Listener = std::function<void(const routing::Configuration&, ConfigurationSource)>;

    explicit ConfigurationHolder(SidecarContext& context) : context_(context) {}

    /// Takes the text if it holds a higher version.
    OfferOutcome offer(const std::string& text, ConfigurationSource source);
    /// Null until the first one came.
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

/// @file
/// Follows the settings file, and notices suspensions of the machine on the way.
#pragma once

#include <string>

#include "observability/suspension.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Owns the settings' text as last read; the settings that may change while the process runs are written to
/// the context.
class SettingsWatch {
  public:
    SettingsWatch(SidecarContext& context, CallIngress& ingress, std::string settings_file);

    /// Looks at the file once a second until a planned stop begins. Blocks its fiber.
    void run();

  private:
    /// Settings that can't be read are logged, and those in force kept.
    void reload_settings();
    /// Logs that the machine was suspended since the last call.
    void note_suspension();

    SidecarContext& context_;
    CallIngress& ingress_;
    std::string settings_file_;
    std::string settings_text_;
    observability::SuspensionWatch suspension_;
};

}  // namespace anisehold::sidecar

/// @file
/// What this program was built from and how, so that its logs tell which code they come from.
#pragma once

#include <string>
#include <string_view>

namespace anisehold::cli {

/// All values are fixed at build time.
struct BuildInfo {
    std::string_view version;
    /// Commit that was checked out, "unknown" if there was none. Says nothing about uncommitted changes.
    std::string_view commit;
    std::string_view source_digest;  ///< Digest of the content of all product sources, committed or not.
    std::string_view build_type;     ///< CMake's build type.
    std::string_view compiler;
    std::string_view boost;
    std::string_view architecture;
    bool is_sanitized = false;  ///< Built with the address sanitizer.
};

BuildInfo build_info();

/// Returns all values on one line.
std::string text_of(const BuildInfo& info);

/// Writes all values to the log.
void log_build_info();

}  // namespace anisehold::cli

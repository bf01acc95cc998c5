/// @file
/// Compares the code's output with golden files written by an earlier version (`tests/unit/wire/golden`). A
/// difference means that other versions, the platform or operators' tools would read different data.
#pragma once

#include <string>
#include <string_view>

namespace anisehold::golden {

/// A hex dump with 16 bytes per line, each line followed by its printable characters.
std::string hex_dump(std::string_view bytes);

/// Fails unless `actual` equals the file's content byte for byte. On a mismatch the actual text is written to
/// `golden-actual/` in the working directory for comparison; golden files are never overwritten.
void check(const std::string& file, const std::string& actual);

}  // namespace anisehold::golden

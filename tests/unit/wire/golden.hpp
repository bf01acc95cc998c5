/// @file
/// Compares what the code writes with files that an earlier version of it wrote (`tests/unit/wire/golden`).
/// A difference means that other versions, the platform or operators' tools would read something else.
#pragma once

#include <string>
#include <string_view>

namespace anisehold::golden {

/// Bytes as lines of hexadecimal pairs, 16 bytes a line, each with its printable characters.
std::string hex_dump(std::string_view bytes);

/// Fails unless `actual` is what the file says, byte for byte. The text that was written instead is left
/// beside the test program, in `golden-actual/`, to be compared by hand; nothing overwrites a golden file.
void check(const std::string& file, const std::string& actual);

}  // namespace anisehold::golden

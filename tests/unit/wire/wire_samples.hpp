/// @file
/// Several named messages in one golden file, written and read back.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "golden.hpp"

namespace anisehold::golden {

/// A message as it is on the wire or in the store.
struct Sample {
    std::string name;
    std::string bytes;

    bool operator==(const Sample&) const = default;
};

/// Each name on a line, its bytes as a hex dump below, and an empty line.
std::string dump_of(const std::vector<Sample>& samples);
/// Each name on a line, its text on the next, and an empty line. For texts without line ends.
std::string text_of(const std::vector<Sample>& samples);

/// The content of a golden file.
std::string content_of(const std::string& file);
/// What a golden file holds that was written by `dump_of`.
std::vector<Sample> dumped_in(const std::string& file);
/// What a golden file holds that was written by `text_of`.
std::vector<Sample> texts_in(const std::string& file);

/// Fails unless each message, decoded and encoded again, gives the bytes that it was decoded from: `again`
/// takes and returns bytes.
template <typename Again>
void check_again(const std::vector<Sample>& read, const std::vector<Sample>& samples, const Again& again) {
    REQUIRE(read.size() == samples.size());
    for (const auto& sample : read) {
        INFO("message " << sample.name);
        CHECK(hex_dump(again(sample.bytes)) == hex_dump(sample.bytes));
    }
}

/// Fails unless the file holds these messages, byte for byte, and each message of the file reads back.
template <typename Again>
void check_dump(const std::string& file, const std::vector<Sample>& samples, const Again& again) {
    check(file, dump_of(samples));
    check_again(dumped_in(file), samples, again);
}

/// The same for texts.
template <typename Again>
void check_text(const std::string& file, const std::vector<Sample>& samples, const Again& again) {
    check(file, text_of(samples));
    check_again(texts_in(file), samples, again);
}

}  // namespace anisehold::golden

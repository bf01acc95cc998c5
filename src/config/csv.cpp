#include "config/csv.hpp"

namespace anisehold::config {
namespace {

class CsvReader {
  public:
    explicit CsvReader(std::string_view text) : text_(text) {}

    std::vector<CsvRecord> read_all() {
        while (position_ < text_.size()) {
            read_record();
        }
        return std::move(records_);
    }

  private:
    void read_record() {
        CsvRecord record;
        record.line = line_;
        bool more = true;
        while (more) {
            record.fields.push_back(read_field());
            more = position_ < text_.size() && text_[position_] == ',';
            position_ += more ? 1 : 0;
        }
        skip_line_end();
        const bool blank = record.fields.size() == 1 && record.fields.front().empty();
        if (!blank) {
            records_.push_back(std::move(record));
        }
    }

    std::string read_field() {
        return position_ < text_.size() && text_[position_] == '"' ? read_quoted() : read_plain();
    }

    std::string read_plain() {
        const auto end = text_.find_first_of(",\r\n", position_);
        const auto field = text_.substr(position_, end == std::string_view::npos ? end : end - position_);
        position_ += field.size();
        return std::string(field);
    }

    std::string read_quoted() {
        std::string field;
        ++position_;
        while (position_ < text_.size()) {
            const char character = text_[position_++];
            if (character == '"') {
                const bool doubled = position_ < text_.size() && text_[position_] == '"';
                if (!doubled) {
                    break;
                }
                ++position_;
            }
            line_ += character == '\n' ? 1 : 0;
            field.push_back(character);
        }
        return field + read_plain();
    }

    void skip_line_end() {
        if (position_ < text_.size() && text_[position_] == '\r') {
            ++position_;
        }
        if (position_ < text_.size() && text_[position_] == '\n') {
            ++position_;
        }
        ++line_;
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    std::vector<CsvRecord> records_;
};

}  // namespace

std::vector<CsvRecord> parse_csv(std::string_view text) {
    return CsvReader(text).read_all();
}

std::string csv_field(std::string_view value) {
    if (value.find_first_of(",\"\r\n") == std::string_view::npos) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char character : value) {
        quoted += character == '"' ? std::string("\"\"") : std::string(1, character);
    }
    return quoted + '"';
}

}  // namespace anisehold::config

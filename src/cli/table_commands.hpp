/// @file
/// `anisehold table ...`: the operators' access to the table. Reads and changes the table in the store;
/// daemons are only asked whether a change is active.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "protocol/endpoint.hpp"
#include "store/table_store.hpp"

namespace anisehold::cli {

/// Options and actions of the table command.
class TableCommands {
  public:
    /// Adds the subcommands; `run` executes the selected one.
    void add_to(CLI::App& app);
    bool chosen() const { return command_ != nullptr && command_->parsed(); }
    /// Runs the selected subcommand and returns the exit status.
    int run(net::EventLoop& loop);

  private:
    int show(store::TableStore& tables, bool as_csv);
    int set_cells(store::TableStore& tables);
    int accept_file(store::TableStore& tables);
    int show_history(store::TableStore& tables);
    int show_outcome(store::TableStore& tables);
    int report(const store::AcceptResult& result);
    int wait_until_in_force(std::uint64_t revision);
    std::optional<Endpoint> daemon_endpoint() const;

    net::EventLoop* loop_ = nullptr;
    CLI::App* command_ = nullptr;
    CLI::App* export_ = nullptr;
    CLI::App* set_ = nullptr;
    CLI::App* accept_ = nullptr;
    CLI::App* history_ = nullptr;
    CLI::App* outcome_ = nullptr;
    std::vector<std::string> stores_;
    std::string daemon_;
    std::string author_;
    std::vector<std::string> cells_;
    std::string file_;
    std::string change_id_;
    std::size_t history_limit_ = 20;
    bool wait_ = false;
};

}  // namespace anisehold::cli

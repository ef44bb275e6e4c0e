// The subcommands of the operators' command-line tool.
#pragma once

#include <string>
#include <vector>

namespace ragwortwinch {

// The parsed command line.
struct CommandOptions {
    // Host and operators' port of a node.
    std::string admin;
    // Positional arguments after the subcommand.
    std::vector<std::string> arguments;
    std::string team;
    // The version that the file is based on; if negative, the version that `fetch` or `apply` recorded.
    long long expectedVersion = -1;
    // For `check`: a file or `in-force`; empty if there is nothing to compare with.
    std::string against;
    // For `check`: `text` or `json`.
    std::string format = "text";
};

inline constexpr int exitOk = 0;
// Also returned by `diff` if there are differences, and by `check` if a gateway's configuration has findings.
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;
// The rules are invalid, or `check` can't read what it needs.
inline constexpr int exitInvalid = 3;
// Another change was accepted first.
inline constexpr int exitConflict = 4;

// Runs subcommand `name` and returns the program's exit code.
int runCommand(const std::string& name, const CommandOptions& options);

// Returns the list of subcommands for --help.
std::string commandHelp();

} // namespace ragwortwinch

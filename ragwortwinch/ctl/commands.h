// The subcommands of the operators' command line. Each returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace ragwortwinch {

// What the command line gave.
struct CommandOptions {
    // A node's operators' port.
    std::string admin;
    // Words after the subcommand.
    std::vector<std::string> words;
    std::string team;
    // The version that the file was made from; negative means: as `fetch` noted it.
    long long expectedVersion = -1;
};

inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;
// The text is not valid.
inline constexpr int exitInvalid = 3;
// Another change was accepted first.
inline constexpr int exitConflict = 4;

// Runs subcommand `name`.
int runCommand(const std::string& name, const CommandOptions& options);

// The list of subcommands, for --help.
std::string commandHelp();

} // namespace ragwortwinch

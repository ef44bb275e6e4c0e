#include "ragwortwinch/base/json.h"
#include "ragwortwinch/ctl/check_report.h"
#include "ragwortwinch/ctl/commands.h"
#include "ragwortwinch/ctl/config_check.h"
#include "ragwortwinch/ctl/key_editor.h"
#include "ragwortwinch/ctl/line_diff.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace ragwortwinch {
namespace {

std::string resultOrError(const std::function<Result<std::string>()>& edit)
{
    return handleErrors(edit, [](const Error& error) { return error.message; });
}

TEST_CASE("adding or removing a key hash leaves the rest of the rules unchanged")
{
    std::string rules = "{\"rule\": \"team\", \"name\": \"riders\", \"keys\": []}, // Nok\n{\"rule\": "
                        "\"team\", \"name\": \"desk\", \"keys\": [\"aaaaaaaa1\", \"bbbbbbbb2\"]} // Ploy\n";
    std::string added = resultOrError([&] { return addKeyHash(rules, "riders", "cccccccc3"); });
    CHECK(added.find("\"riders\", \"keys\": [\"cccccccc3\"]}, // Nok") != std::string::npos);
    CHECK(resultOrError([&] {
        return addKeyHash(rules, "desk", "cccccccc3");
    }).find("[\"cccccccc3\", \"aaaaaaaa1\", \"bbbbbbbb2\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return removeKeyHash(rules, "aaaaaaaa");
    }).find("\"keys\": [\"bbbbbbbb2\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return removeKeyHash(rules, "bbbbbbbb");
    }).find("\"keys\": [\"aaaaaaaa1\"]} // Ploy")
        != std::string::npos);
    CHECK(resultOrError([&] { return removeKeyHash(added, "cccccccc"); }) == rules);
    CHECK(resultOrError([&] { return removeKeyHash(rules, "abc"); }).find("at least the first 8")
        != std::string::npos);
    CHECK(resultOrError([&] {
        return addKeyHash(rules, "nobody", "c");
    }).find("no line has a team rule named `nobody`")
        != std::string::npos);
}

TEST_CASE("a diff lists removed and added lines in order")
{
    CHECK(diffLines("a\nb\nc\n", "a\nb\nc\n").empty());
    CHECK(diffLines("a\nb\nc\n", "a\nx\nc\nd\n") == std::vector<std::string>{"- b", "+ x", "+ d"});
}

CheckReport sampleReport()
{
    CheckReport report;
    report.file = "c.json";
    report.findings
        = {{FindingSeverity::Error, FindingCode::WrongType, "/version", 1, "it is a text", "write a number"},
            {FindingSeverity::Warning, FindingCode::HiddenRoute, "/routes/1", 7, "it never matches",
                "remove it"}};
    return report;
}

TEST_CASE("a report as text has one line for each finding and change")
{
    CheckReport report = sampleReport();
    CHECK(reportText(report)
        == "c.json:1: error: /version: it is a text; write a number [wrong_type]\n"
           "c.json:7: warning: /routes/1: it never matches; remove it [hidden_route]\n"
           "errors=1 warnings=1\n");
    report.hasMore = true;
    CHECK(reportText(report).ends_with("errors=1 warnings=1 more=true\n"));
    CHECK(parseJsonOrDiscard(reportJson(report))["more"] == true);
    report.hasMore = false;
    report.findings.clear();
    report.against = "in-force";
    CHECK(reportText(report) == "errors=0 warnings=0 changes=unknown against=in-force\n");
    report.changes = {{ChangeKind::Removed, "route `r`", "route `r` is removed"}};
    CHECK(reportText(report)
        == "change: route `r` is removed\nerrors=0 warnings=0 changes=1 against=in-force\n");
}

TEST_CASE("a report as JSON has the same content")
{
    CheckReport report = sampleReport();
    Json document = parseJsonOrDiscard(reportJson(report));
    CHECK(integerMember(document, "errors") == 1);
    CHECK(integerMember(document, "warnings") == 1);
    CHECK_FALSE(document.contains("changes"));
    CHECK(document["findings"][1]
        == Json({{"severity", "warning"}, {"code", "hidden_route"}, {"path", "/routes/1"}, {"line", 7},
            {"message", "it never matches"}, {"remedy", "remove it"}}));
    report.against = "old.json";
    report.changes = {{ChangeKind::Removed, "route `r`", "route `r` is removed"}};
    document = parseJsonOrDiscard(reportJson(report));
    CHECK(document["against"] == "old.json");
    CHECK(document["changes"]
        == Json::array({{{"kind", "removed"}, {"entry", "route `r`"}, {"message", "route `r` is removed"}}}));
}

// A file in the temporary directory, removed at the end of the test.
class TemporaryFile {
public:
    TemporaryFile(const std::string& name, const std::string& text)
        : path_(std::filesystem::temp_directory_path() / fmt::format("ctl-{}-{}", getpid(), name))
    {
        std::ofstream(path_, std::ios::binary) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(path_); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

std::string gatewayConfig(int version, int timeout)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s",
"timeout_ms":{}}}],"services":[{{"name":"s"}}]}})",
        version, timeout);
}

struct CheckResult {
    int exitCode = -1;
    std::string output;
};

CheckResult checkConfig(const std::string& text, const std::string& against = "")
{
    std::ostringstream out;
    int exitCode = runConfigCheck({"c.json", text, against, "127.0.0.1:1", ReportFormat::Text}, out);
    return {exitCode, out.str()};
}

TEST_CASE("the exit code of check tells findings from none and from what can't be read")
{
    CHECK(checkConfig(gatewayConfig(2, 100)).exitCode == exitOk);
    CHECK(checkConfig(gatewayConfig(2, 100)).output == "errors=0 warnings=0\n");
    CheckResult finding = checkConfig(gatewayConfig(2, 0));
    CHECK(finding.exitCode == exitFailed);
    CHECK(finding.output.starts_with("c.json:2: warning: /routes/0/timeout_ms: "));
    CHECK(checkConfig("{\"version\":").exitCode == exitFailed);
    CHECK(checkConfig(gatewayConfig(2, 100), "/nonexistent/c.json").exitCode == exitInvalid);
    TemporaryFile broken("broken", "{\"version\":");
    CHECK(checkConfig(gatewayConfig(2, 100), broken.path()).exitCode == exitInvalid);
    // Nothing listens on port 1.
    CHECK(checkConfig(gatewayConfig(2, 100), "in-force").exitCode == exitInvalid);
}

TEST_CASE("check compares with another file, and differences are no findings")
{
    TemporaryFile old("old", gatewayConfig(2, 100));
    CheckResult newer = checkConfig(gatewayConfig(3, 200), old.path());
    CHECK(newer.exitCode == exitOk);
    CHECK(newer.output
        == fmt::format(
            "change: route `r`: timeout rises from 100 ms to 200 ms\nerrors=0 warnings=0 changes=1 "
            "against={}\n",
            old.path()));
    CHECK(checkConfig(gatewayConfig(2, 100), old.path()).exitCode == exitOk);
    CheckResult older = checkConfig(gatewayConfig(2, 200), old.path());
    CHECK(older.exitCode == exitFailed);
    CHECK(older.output.find("[version_not_newer]") != std::string::npos);
    CheckResult broken = checkConfig("{\"version\":", old.path());
    CHECK(broken.exitCode == exitFailed);
    CHECK(broken.output.find("changes=unknown") != std::string::npos);
}

TEST_CASE("check tells a gateway's configuration from rules by the content, and rejects wrong options")
{
    TemporaryFile config("config", gatewayConfig(2, 100));
    TemporaryFile rules(
        "rules", "{ \"rules\": [\n{\"rule\": \"team\", \"name\": \"riders\", \"keys\": []} // Nok\n] }\n");
    CommandOptions options;
    options.arguments = {config.path()};
    CHECK(runCommand("check", options) == exitOk);
    options.format = "json";
    CHECK(runCommand("check", options) == exitOk);
    options.format = "xml";
    CHECK(runCommand("check", options) == exitUsage);
    options.format = "text";
    options.arguments = {rules.path()};
    CHECK(runCommand("check", options) == exitOk);
    options.against = "in-force";
    CHECK(runCommand("check", options) == exitUsage);
    options.against.clear();
    TemporaryFile badRules("bad", "{ \"rules\": [\n{\"rule\": \"team\"}\n] }\n");
    options.arguments = {badRules.path()};
    CHECK(runCommand("check", options) == exitInvalid);
    options.arguments = {"/nonexistent/c.json"};
    CHECK(runCommand("check", options) == exitInvalid);
    options.arguments.clear();
    CHECK(runCommand("check", options) == exitUsage);
}

} // namespace
} // namespace ragwortwinch

#include "testing/process/child_process.h"

#include "testing/process/process_group.h"

#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ragwortwinch::process {

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments)
{
    int pipes[2];
    if (pipe2(pipes, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2() failed");
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0) {
        enterOwnProcessGroup();
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(pipes[1], STDOUT_FILENO);
        if (!std::getenv("RAGWORTWINCH_TEST_LOGS"))
            dup2(open("/dev/null", O_WRONLY), STDERR_FILENO);
        execv(program.c_str(), argv.data());
        _exit(127);
    }
    close(pipes[1]);
    char character = 0;
    // Log lines (with "event=") may come before the line that lists the ports.
    while (read(pipes[0], &character, 1) == 1 && !(character == '\n' && isPortLine())) {
        if (character == '\n')
            portLine_.clear();
        else
            portLine_ += character;
    }
    close(pipes[0]);
    if (!isPortLine())
        throw std::runtime_error(
            program + " ended without printing its ports; RAGWORTWINCH_TEST_LOGS=1 shows its log");
}

ChildProcess::~ChildProcess()
{
    if (hasEnded_)
        return;
    kill(pid_, SIGKILL);
    kill(pid_, SIGCONT);
    wait();
}

std::uint16_t ChildProcess::port(const std::string& name) const
{
    std::size_t start = (" " + portLine_).find(" " + name + "=");
    if (start == std::string::npos)
        throw std::runtime_error("the program printed no port named " + name);
    return static_cast<std::uint16_t>(std::atoi(portLine_.c_str() + start + name.size() + 1));
}

bool ChildProcess::isPortLine() const
{
    return portLine_.find("port=") != std::string::npos && portLine_.find("event=") == std::string::npos;
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(pid_, &status, 0);
    hasEnded_ = true;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

long ChildProcess::residentKilobytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

} // namespace ragwortwinch::process

// The main function of every test program. Broken invariants are fatal under test.
#define DOCTEST_CONFIG_IMPLEMENT
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/log_event.h"

#include <doctest/doctest.h>
#include <glog/logging.h>

int main(int argc, char** argv)
{
    ragwortwinch::setInvariantMode(ragwortwinch::InvariantMode::Throw);
    ragwortwinch::startLogging(argv[0]);
    FLAGS_minloglevel = google::GLOG_FATAL;
    doctest::Context context(argc, argv);
    return context.run();
}

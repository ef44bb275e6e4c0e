// The main function of every test program. A broken invariant throws, so that it fails the test.
#define DOCTEST_CONFIG_IMPLEMENT
#include "ragwortwinch/base/invariant.h"

#include <doctest/doctest.h>

int main(int argc, char** argv)
{
    ragwortwinch::setInvariantMode(ragwortwinch::InvariantMode::Throw);
    doctest::Context context(argc, argv);
    return context.run();
}

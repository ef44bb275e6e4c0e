#include "ragwortwinch/base/internal/rcu.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void*);
extern "C" void __tsan_release(void*);
#endif

namespace ragwortwinch::internal {

namespace {

struct ThreadRegistration {
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

void registerThisThread()
{
    thread_local ThreadRegistration registration;
    static_cast<void>(registration);
}

} // namespace

void rcuReadLock()
{
    registerThisThread();
    urcu_memb_read_lock();
}

void rcuReadUnlock() { urcu_memb_read_unlock(); }

void rcuSynchronize() { urcu_memb_synchronize_rcu(); }

void annotateAcquire([[maybe_unused]] const void* address)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(const_cast<void*>(address));
#endif
}

void annotateRelease([[maybe_unused]] const void* address)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(const_cast<void*>(address));
#endif
}

} // namespace ragwortwinch::internal

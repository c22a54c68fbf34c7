/*
 * Injects faults into socket system calls of the process it is preloaded into (LD_PRELOAD), by a plan and a seed.
 *
 * FAULTS      e.g. "seed=3,after_ms=1500,accept=0.2,socket=0.1,connect=0.1,wait=0.1,short=0.3,intr=0.1"
 *             the probability of each fault, 0 to 1; no faults in the first after_ms of the process
 * FAULTS_LOG  a file that gets a line for each fault: milliseconds since the start, call, errno
 *
 * accept: ECONNABORTED, ENFILE, ENOBUFS; socket: ENFILE, ENOBUFS; connect: EADDRNOTAVAIL, ENETUNREACH;
 * wait: epoll_wait fails with EINTR; short: reads and writes of sockets transfer only part of the bytes;
 * intr: they fail with EINTR.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static double p_accept, p_socket, p_connect, p_wait, p_short, p_intr, after_ms;
static unsigned long long state = 1;
static struct timespec start;
static int log_fd = -1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static double plan_value(const char *plan, const char *name, double default_value) {
    size_t length = strlen(name);
    for (const char *at = plan; at && *at; at = strchr(at, ',') ? strchr(at, ',') + 1 : NULL) {
        if (!strncmp(at, name, length) && at[length] == '=') {
            return atof(at + length + 1);
        }
    }
    return default_value;
}

static double now_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - start.tv_sec) * 1e3 + (now.tv_nsec - start.tv_nsec) / 1e6;
}

__attribute__((constructor)) static void init(void) {
    const char *plan = getenv("FAULTS");
    const char *log = getenv("FAULTS_LOG");
    clock_gettime(CLOCK_MONOTONIC, &start);
    if (!plan) {
        return;
    }
    state = (unsigned long long)plan_value(plan, "seed", 1) * 2862933555777941757ULL + 3037000493ULL;
    after_ms = plan_value(plan, "after_ms", 0);
    p_accept = plan_value(plan, "accept", 0);
    p_socket = plan_value(plan, "socket", 0);
    p_connect = plan_value(plan, "connect", 0);
    p_wait = plan_value(plan, "wait", 0);
    p_short = plan_value(plan, "short", 0);
    p_intr = plan_value(plan, "intr", 0);
    if (log) {
        log_fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
}

static int should_fail(double probability) {
    if (probability <= 0 || now_ms() < after_ms) {
        return 0;
    }
    pthread_mutex_lock(&lock);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    double draw = (double)(state >> 11) / 9007199254740992.0;
    pthread_mutex_unlock(&lock);
    return draw < probability;
}

static void log_fault(const char *call, int error) {
    char line[80];
    int saved = errno;
    int n = snprintf(line, sizeof line, "%.3f %s %d\n", now_ms(), call, error);
    if (log_fd >= 0 && write(log_fd, line, n) < 0) {
        log_fd = -1;
    }
    errno = saved;
}

static int fail(const char *call, int error) {
    log_fault(call, error);
    errno = error;
    return -1;
}

static int is_socket(int fd) {
    struct stat status;
    int saved = errno;
    int yes = fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
    errno = saved;
    return yes;
}

static int is_internet(int family) {
    return family == AF_INET || family == AF_INET6;
}

#define REAL(name) __typeof__(&name) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
    static int calls;
    REAL(accept4);
    if (should_fail(p_accept)) {
        return fail("accept4", errors[__sync_fetch_and_add(&calls, 1) % 3]);
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int calls;
    REAL(socket);
    if (is_internet(domain) && (type & 0xf) == SOCK_STREAM && should_fail(p_socket)) {
        return fail("socket", __sync_fetch_and_add(&calls, 1) % 2 ? ENFILE : ENOBUFS);
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int calls;
    REAL(connect);
    if (is_internet(address->sa_family) && should_fail(p_connect)) {
        return fail("connect", __sync_fetch_and_add(&calls, 1) % 2 ? EADDRNOTAVAIL : ENETUNREACH);
    }
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (should_fail(p_wait)) {
        return fail("epoll_wait", EINTR);
    }
    return real(fd, events, max_events, timeout);
}

int epoll_pwait2(
        int fd, struct epoll_event *events, int max_events, const struct timespec *timeout, const sigset_t *signals) {
    REAL(epoll_pwait2);
    if (should_fail(p_wait)) {
        return fail("epoll_wait", EINTR);
    }
    return real(fd, events, max_events, timeout, signals);
}

static size_t maybe_shorten(const char *call, size_t bytes) {
    if (bytes > 1 && should_fail(p_short)) {
        log_fault(call, 0);
        return bytes / 2;
    }
    return bytes;
}

ssize_t read(int fd, void *buffer, size_t bytes) {
    REAL(read);
    if ((p_intr <= 0 && p_short <= 0) || !is_socket(fd)) {
        return real(fd, buffer, bytes);
    }
    if (should_fail(p_intr)) {
        return fail("read", EINTR);
    }
    return real(fd, buffer, maybe_shorten("read", bytes));
}

ssize_t recv(int fd, void *buffer, size_t bytes, int flags) {
    REAL(recv);
    if (should_fail(p_intr)) {
        return fail("recv", EINTR);
    }
    return real(fd, buffer, maybe_shorten("recv", bytes), flags);
}

ssize_t write(int fd, const void *buffer, size_t bytes) {
    REAL(write);
    if ((p_intr <= 0 && p_short <= 0) || fd == log_fd || !is_socket(fd)) {
        return real(fd, buffer, bytes);
    }
    if (should_fail(p_intr)) {
        return fail("write", EINTR);
    }
    return real(fd, buffer, maybe_shorten("write", bytes));
}

ssize_t send(int fd, const void *buffer, size_t bytes, int flags) {
    REAL(send);
    if (should_fail(p_intr)) {
        return fail("send", EINTR);
    }
    return real(fd, buffer, maybe_shorten("send", bytes), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if ((p_intr <= 0 && p_short <= 0) || !is_socket(fd)) {
        return real(fd, parts, count);
    }
    if (should_fail(p_intr)) {
        return fail("writev", EINTR);
    }
    return real(fd, parts, count > 1 && should_fail(p_short) ? 1 : count);
}

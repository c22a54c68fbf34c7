/*
 * Makes system calls on sockets fail by a plan and a seed; preloaded into a process under test (LD_PRELOAD).
 *
 * FAULTS      e.g. "seed=3,after_ms=1500,accept=0.2,socket=0.1,connect=0.1,wait=0.1,short=0.3,intr=0.1"
 *             the probability of each fault, 0 to 1; none before after_ms from the process's start
 * FAULTS_LOG  a file to which a line is appended for each fault: time in ms since the start, call, error
 *
 * accept: ECONNABORTED, ENFILE, ENOBUFS; socket: ENFILE, ENOBUFS; connect: EADDRNOTAVAIL, ENETUNREACH;
 * wait: epoll_wait ends by EINTR; short: reads and writes of sockets take part of what is asked for;
 * intr: they end by EINTR.
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

static double figure(const char *plan, const char *name, double absent) {
    size_t length = strlen(name);
    for (const char *at = plan; at && *at; at = strchr(at, ',') ? strchr(at, ',') + 1 : NULL) {
        if (!strncmp(at, name, length) && at[length] == '=') {
            return atof(at + length + 1);
        }
    }
    return absent;
}

static double now_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - start.tv_sec) * 1e3 + (now.tv_nsec - start.tv_nsec) / 1e6;
}

__attribute__((constructor)) static void begin(void) {
    const char *plan = getenv("FAULTS");
    const char *log = getenv("FAULTS_LOG");
    clock_gettime(CLOCK_MONOTONIC, &start);
    if (!plan) {
        return;
    }
    state = (unsigned long long)figure(plan, "seed", 1) * 2862933555777941757ULL + 3037000493ULL;
    after_ms = figure(plan, "after_ms", 0);
    p_accept = figure(plan, "accept", 0);
    p_socket = figure(plan, "socket", 0);
    p_connect = figure(plan, "connect", 0);
    p_wait = figure(plan, "wait", 0);
    p_short = figure(plan, "short", 0);
    p_intr = figure(plan, "intr", 0);
    if (log) {
        log_fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
}

static int drawn(double probability) {
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

static void told(const char *call, int error) {
    char line[80];
    int saved = errno;
    int n = snprintf(line, sizeof line, "%.3f %s %d\n", now_ms(), call, error);
    if (log_fd >= 0 && write(log_fd, line, n) < 0) {
        log_fd = -1;
    }
    errno = saved;
}

static int fail(const char *call, int error) {
    told(call, error);
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
    static int turn;
    REAL(accept4);
    if (drawn(p_accept)) {
        return fail("accept4", errors[__sync_fetch_and_add(&turn, 1) % 3]);
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int turn;
    REAL(socket);
    if (is_internet(domain) && (type & 0xf) == SOCK_STREAM && drawn(p_socket)) {
        return fail("socket", __sync_fetch_and_add(&turn, 1) % 2 ? ENFILE : ENOBUFS);
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int turn;
    REAL(connect);
    if (is_internet(address->sa_family) && drawn(p_connect)) {
        return fail("connect", __sync_fetch_and_add(&turn, 1) % 2 ? EADDRNOTAVAIL : ENETUNREACH);
    }
    return real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (drawn(p_wait)) {
        return fail("epoll_wait", EINTR);
    }
    return real(fd, events, most, timeout);
}

int epoll_pwait2(
        int fd, struct epoll_event *events, int most, const struct timespec *timeout, const sigset_t *signals) {
    REAL(epoll_pwait2);
    if (drawn(p_wait)) {
        return fail("epoll_wait", EINTR);
    }
    return real(fd, events, most, timeout, signals);
}

static size_t shortened(const char *call, size_t bytes) {
    if (bytes > 1 && drawn(p_short)) {
        told(call, 0);
        return bytes / 2;
    }
    return bytes;
}

ssize_t read(int fd, void *buffer, size_t bytes) {
    REAL(read);
    if ((p_intr <= 0 && p_short <= 0) || !is_socket(fd)) {
        return real(fd, buffer, bytes);
    }
    if (drawn(p_intr)) {
        return fail("read", EINTR);
    }
    return real(fd, buffer, shortened("read", bytes));
}

ssize_t recv(int fd, void *buffer, size_t bytes, int flags) {
    REAL(recv);
    if (drawn(p_intr)) {
        return fail("recv", EINTR);
    }
    return real(fd, buffer, shortened("recv", bytes), flags);
}

ssize_t write(int fd, const void *buffer, size_t bytes) {
    REAL(write);
    if ((p_intr <= 0 && p_short <= 0) || fd == log_fd || !is_socket(fd)) {
        return real(fd, buffer, bytes);
    }
    if (drawn(p_intr)) {
        return fail("write", EINTR);
    }
    return real(fd, buffer, shortened("write", bytes));
}

ssize_t send(int fd, const void *buffer, size_t bytes, int flags) {
    REAL(send);
    if (drawn(p_intr)) {
        return fail("send", EINTR);
    }
    return real(fd, buffer, shortened("send", bytes), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int many) {
    REAL(writev);
    if ((p_intr <= 0 && p_short <= 0) || !is_socket(fd)) {
        return real(fd, parts, many);
    }
    if (drawn(p_intr)) {
        return fail("writev", EINTR);
    }
    return real(fd, parts, many > 1 && drawn(p_short) ? 1 : many);
}

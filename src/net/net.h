// Public header of the net library: TCP connections and timers of one thread.

#ifndef SRC_NET_NET_H_
#define SRC_NET_NET_H_

#include "src/net/tcp_loop.h"
#include "src/net/transport.h"

#endif  // SRC_NET_NET_H_

//go:build cgo && linux

#include <signal.h>
#include <string.h>

static const char *services[] = {"entry", "node", "side"};

/* Runs before the Go runtime. glibc passes the arguments of main to constructors. */
__attribute__((constructor)) static void ignoreHangup(int argc, char **argv) {
	if (argc < 2)
		return;
	for (size_t i = 0; i < sizeof services / sizeof *services; i++) {
		if (strcmp(argv[1], services[i]) == 0) {
			signal(SIGHUP, SIG_IGN);
			return;
		}
	}
}

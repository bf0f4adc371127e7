package io.flamingogap.testkit.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Blocks of consecutive ports, each of which one process at a time may use. A block
 * belongs to the process that holds the lock of its file. The operating system releases
 * the lock when the process ends.
 * <p>
 * Not thread-safe.
 */
final class PortBlocks {

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS_PER_BLOCK = 30;

	private static final int BLOCK_COUNT = 400;

	private final Path directory;

	/** Keeps the locks reachable: a lock ends when its channel is collected. */
	private final List<FileLock> locks = new ArrayList<>();

	private int next;

	/**
	 * Create an instance without locked blocks.
	 * @param directory the directory of the lock files; processes share the blocks if
	 * they use the same directory
	 */
	PortBlocks(Path directory) {
		this.directory = directory;
	}

	static PortBlocks inTemporaryDirectory() {
		return new PortBlocks(Path.of(System.getProperty("java.io.tmpdir"), "flamingogap-ports"));
	}

	/**
	 * Lock the next block that no other process holds.
	 * @return the ports of the block
	 */
	List<Integer> lockNext() {
		while (this.next < BLOCK_COUNT) {
			int block = this.next++;
			if (lock(block)) {
				int first = FIRST_PORT + block * PORTS_PER_BLOCK;
				return IntStream.range(first, first + PORTS_PER_BLOCK).boxed().toList();
			}
		}
		throw new IllegalStateException(
				"all " + BLOCK_COUNT + " blocks of ports from " + FIRST_PORT + " are locked by other processes");
	}

	private boolean lock(int block) {
		try {
			Files.createDirectories(this.directory);
			FileChannel channel = FileChannel.open(this.directory.resolve("block-" + block + ".lock"),
					StandardOpenOption.CREATE, StandardOpenOption.WRITE);
			FileLock lock = channel.tryLock();
			if (lock == null) {
				channel.close();
				return false;
			}
			this.locks.add(lock);
			return true;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("block " + block + " of ports can't be locked in " + this.directory, ex);
		}
	}

}

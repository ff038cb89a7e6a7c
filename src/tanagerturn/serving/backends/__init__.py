"""What is known of backend servers: announcements, own requests, notices."""
